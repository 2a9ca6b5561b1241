"""What handled errors keep in memory."""


def drop_frames(exc: BaseException) -> None:
    """Drop the tracebacks of an error that was handled, and of those that caused it.

    A frame that raised an error from a variable refers to it, as the error's traceback
    does to the frame. What the frames hold, such as a request's body, would stay until
    the garbage collector runs, which goes by the number of objects, not their size.
    """
    found: list[BaseException] = []
    left: list[BaseException | None] = [exc]
    while left:
        error = left.pop()
        # An error may be among its own causes.
        if error is None or any(error is one for one in found):
            continue
        found.append(error)
        left += [error.__cause__, error.__context__]
        error.__traceback__ = None
