"""``ebonydeal status`` and ``ebonydeal endpoints``."""

import click

from ebonydeal._internal.commands.client import (
    Console,
    body_or_exit,
    console_options,
    print_json,
    print_table,
)


@click.command("status")
@console_options
def status_command(url: str, token: str, as_json: bool) -> None:
    """Print deployments, processes and counters."""
    status = body_or_exit(Console(url, token).get("/api/status"))
    if as_json:
        print_json(status)
        return
    click.echo(f"document version {status['version']}")
    for line in status["missing"]:
        click.echo(f"not known: {line}", err=True)
    click.echo()
    print_table(
        ["deployment", "ready", "least", "most", "price/h", "ceiling/h", "zones"],
        [
            [
                item["name"],
                item["ready"],
                item["least"],
                item["most"],
                f"{item['price_per_hour']:.2f}",
                f"{item['ceiling']:.2f}",
                " ".join(f"{zone['zone']}={zone['ready']}" for zone in item["zones"]),
            ]
            for item in status["deployments"]
        ],
    )
    click.echo()
    print_table(
        ["process", "program", "zone", "document"],
        [
            [
                item["id"],
                ",".join(item["roles"]),
                item["zone"],
                "no answer" if item["version"] is None else item["version"],
            ]
            for item in status["processes"]
        ],
    )
    for name in ("refusals", "retries"):
        if status[name]:
            click.echo()
            rows = [[reason, count] for reason, count in status[name].items()]
            print_table([name, "count"], rows)


@click.command("endpoints")
@click.option("--deployment", default="", help="Only this deployment.")
@click.option("--zone", default="", help="Only this availability zone.")
@console_options
def endpoints_command(
    deployment: str, zone: str, url: str, token: str, as_json: bool
) -> None:
    """Print the endpoints in the instance list."""
    response = body_or_exit(Console(url, token).get("/api/endpoints"))
    found = [
        item
        for item in response["endpoints"]
        if deployment in ("", item["deployment"]) and zone in ("", item["zone"])
    ]
    if as_json:
        print_json({"endpoints": found})
        return
    rows = [
        [
            item["endpoint_id"],
            item["deployment"],
            item["zone"],
            item["state"],
            "reclaimable" if item["reclaimable"] else "on-demand",
            f"{item['price_per_hour']:.2f}",
            item["address"],
        ]
        for item in found
    ]
    headings = ["endpoint", "deployment", "zone", "state", "market", "price/h"]
    print_table([*headings, "address"], rows)
