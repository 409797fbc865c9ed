"""The base of all errors that this package raises, and those that several packages share."""


class IndigodeckError(Exception):
    """Base class of all errors raised on purpose by this package."""


class MalformedMessageError(IndigodeckError):
    """Input that its protocol does not allow; the message says what is wrong and where."""


class LimitExceededError(IndigodeckError):
    """A peer asks for more than a stated bound allows; the message names the bound."""


class RejectedError(IndigodeckError):
    """A request or message that is understood but not accepted; the message gives the reason."""
