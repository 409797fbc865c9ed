"""The constants of the Server/Application State Protocol: types, return codes, flags, sizes."""

import struct

VERSION = 1
HEADER = struct.Struct("!HHBII")  # type, length, version, message length, message id
HEADER_TYPE = 0x2010
COMPONENT_HEADER = struct.Struct("!HH")  # type, length

# Message types.
REGISTER = 0x1010
REGISTERED = 0x1015
DEREGISTER = 0x1020
DEREGISTERED = 0x1025
GET_WEIGHTS = 0x1030
WEIGHTS = 0x1035
SEND_WEIGHTS = 0x1040
SET_BALANCER = 0x1050
BALANCER_SET = 0x1055
SET_MEMBERS = 0x1060
MEMBERS_SET = 0x1065

# Component types.
MEMBER = 0x3010
GROUP = 0x3011
WEIGHT_ENTRY = 0x3012
MEMBER_STATE = 0x3013
GROUP_OF_MEMBERS = 0x4010
GROUP_OF_WEIGHTS = 0x4011
GROUP_OF_STATES = 0x4012

# Return codes.
SUCCESSFUL = 0x00
NOT_UNDERSTOOD = 0x10
NOT_ACCEPTED = 0x11
ALREADY_REGISTERED = 0x40
NOT_REGISTERED = 0x41
UNKNOWN_GROUP = 0x42
UNKNOWN_BALANCER = 0x43
DUPLICATE_MEMBER = 0x44
INVALID_GROUP = 0x45
DUPLICATE_GROUP = 0x46
GROUP_NAME_SIZE = 0x50
BALANCER_SIZE = 0x51
BALANCER_ABSENT = 0x61
RETURN_CODE_MEANINGS = {
    SUCCESSFUL: "successful",
    NOT_UNDERSTOOD: "message not understood",
    NOT_ACCEPTED: "the manager will not accept this message from the sender",
    ALREADY_REGISTERED: "member already registered",
    NOT_REGISTERED: "application or system not registered",
    UNKNOWN_GROUP: "unknown group name",
    UNKNOWN_BALANCER: "unknown load balancer",
    DUPLICATE_MEMBER: "duplicate member in request",
    INVALID_GROUP: "invalid group",
    DUPLICATE_GROUP: "duplicate group in request",
    GROUP_NAME_SIZE: "invalid group name size",
    BALANCER_SIZE: "invalid load balancer id size",
    BALANCER_ABSENT: "the load balancer of this member has not yet contacted the manager",
}

# Flags. The RFC numbers bits from the most significant one down (docs/sasp.md).
PUSH = 0x80
TRUST = 0x40
NO_CHANGE = 0x20
CONTACT_SUCCESS = 0x80
QUIESCED = 0x40
BY_BALANCER = 0x20
CONFIDENT = 0x10
FROM_BALANCER = 0x80
QUIESCE = 0x80

MAX_COMPONENT_BYTES = 0xFFFF
MAX_TEXT_BYTES = 0xFF
