"""Replicated configuration and state of the fleet, and their distribution to the nodes."""

from marigoldtrail.control.commands import Order
from marigoldtrail.control.host_list import HostList, PlatformHost, ReadHosts, parse_host_list
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.control.orders import OrderAnswer, SendOrder
from marigoldtrail.control.partitions import PARTITIONS, partition_of
from marigoldtrail.control.service import ConfigGroup, ControlService
from marigoldtrail.control.validation import CheckedManifest, check_manifest

__all__ = [
    "PARTITIONS",
    "CheckedManifest",
    "ConfigGroup",
    "ConfigMachine",
    "ControlService",
    "HostList",
    "Order",
    "OrderAnswer",
    "PlatformHost",
    "ReadHosts",
    "SendOrder",
    "check_manifest",
    "parse_host_list",
    "partition_of",
]
