"""JSON Schemas of settings, manifest and messages, with generated classes and strict decoders."""

from marigoldtrail.schema.documents import (
    Fault,
    decode_json,
    is_site_settings,
    load_schema,
    parse_document,
    parse_manifest,
    parse_settings,
    parse_site_settings,
    read_settings,
)

__all__ = [
    "Fault",
    "decode_json",
    "is_site_settings",
    "load_schema",
    "parse_document",
    "parse_manifest",
    "parse_settings",
    "parse_site_settings",
    "read_settings",
]
