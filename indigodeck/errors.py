"""The base class of all errors that this package raises, and errors that subpackages share."""


class IndigodeckError(Exception):
    """Base class of all errors that this package raises deliberately."""


class MalformedMessageError(IndigodeckError):
    """Input that violates its protocol; the message says what is wrong and where."""


class LimitExceededError(IndigodeckError):
    """A peer exceeds a limit; the message names the limit."""


class RejectedError(IndigodeckError):
    """A request or message that is well-formed but not accepted; the message gives the reason."""
