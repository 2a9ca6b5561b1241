"""What all sends of one job have in common, also those that overlap."""

from dataclasses import dataclass, field

from ebonydeal._internal.relay.requests.endpoint_chooser import EndpointChooser
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.job_share import JobShare
from ebonydeal._internal.relay.requests.load_refusal import LoadRefusal
from ebonydeal._internal.relay.requests.migrations import RefusedMoves
from ebonydeal._internal.relay.requests.outcomes import RunProof
from ebonydeal._internal.routing.retries.retry_reserve import RetryReserve


@dataclass
class SendHistory:
    """The sends that one job has made, and what is known by them.

    ``possible_runs`` counts those that may have run, ``unsent`` those that never left
    this process, ``sends`` all. ``avoid`` holds the endpoints that failed, ``reserve``
    the retry that is set aside while a run of a stream is stopped. ``overtaken`` holds
    the endpoints whose silent run was closed although it might have gone on,
    ``refused_moves`` those that didn't take a migrated run.
    """

    proof: RunProof
    chooser: EndpointChooser
    share: JobShare
    refusal: LoadRefusal
    reserve: RetryReserve
    possible_runs: int = 0
    unsent: int = 0
    sends: int = 0
    avoid: set[str] = field(default_factory=set)
    overtaken: set[str] = field(default_factory=set)
    refused_moves: RefusedMoves = field(default_factory=RefusedMoves)
    usage_counted: bool = False

    @classmethod
    def of_job(cls, parts: SendParts, job: Job, priority: int) -> "SendHistory":
        """Return the history of a job that wasn't sent yet."""
        chooser = EndpointChooser(parts, job)
        return cls(
            RunProof(not job.at_most_once),
            chooser,
            JobShare(parts.shares, job),
            LoadRefusal(parts, job, chooser, priority),
            RetryReserve(parts.retries, job.service),
        )
