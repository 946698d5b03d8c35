"""Build settings and manifests of the two deployments that the demo runs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

LOOPBACK = "127.0.0.1"

# Offsets from `first_port`. Upstream ports follow those of the nodes; all of them stay below the
# kernel's ephemeral range.
PEER_PORT_OFFSET = 0
API_PORT_OFFSET = 100
UPSTREAM_PORT_OFFSET = 200


class Deployment(msgspec.Struct, kw_only=True, frozen=True):
    """
    Layout of one user's fleet.

    Parameters
    ----------
    name : str
        Short name, used as prefix of the host names.
    data_centres : list of str
        Data centres of the fleet.
    hosts : int
        Number of entry hosts.
    control_hosts : int
        Number of entry hosts that also have the role control, and a data folder.
    engines : int
        Number of model engines.
    services : dict of str to bool
        Plain services, and whether they report their load.
    replicas : int
        Replicas of each service and pool.
    first_port : int
        First TCP port of the deployment.
    """

    name: str
    data_centres: list[str]
    hosts: int
    control_hosts: int
    engines: int
    services: dict[str, bool]
    replicas: int
    first_port: int


KIBANDA = Deployment(
    name="kibanda",
    data_centres=["nbo-1", "nbo-2", "nbo-3", "nbo-4"],
    hosts=9,
    control_hosts=5,
    engines=10,
    services={"order_stock": True, "delivery": True, "ledger": True, "payroll": False},
    replicas=4,
    first_port=21000,
)

TSVETANOV = Deployment(
    name="tsvetanov",
    data_centres=["pdv-1", "pdv-2", "pdv-3"],
    hosts=8,
    control_hosts=3,
    engines=6,
    services={"booking": True, "billing": True, "tracking": True, "alerts": False},
    replicas=3,
    first_port=22000,
)

DEPLOYMENTS = (KIBANDA, TSVETANOV)

MODEL = "piccolo"
POOLS = {"encoders": "encoder", "retrievers": "retriever", "rerankers": "reranker"}
ACCOUNTS = {
    "kibanda": [
        ("party-planners", 4.0),
        ("resellers", 4.0),
        ("duka-moja", 1.0),
        ("harusi-co", 1.0),
        ("walk-in", 1.0),
    ],
    "tsvetanov": [
        ("thracian-tankers", 4.0),
        ("maritsa-coop", 4.0),
        ("ivanov-farm", 1.0),
        ("dimov-slurry", 1.0),
        ("yard-7", 1.0),
    ],
}


def build_settings(deployment: Deployment, folder: Path) -> list[dict[str, Any]]:
    """
    Build the settings of every node of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    folder : Path
        Parent folder of data and traces.

    Returns
    -------
    list of dict
        One settings document for each node.
    """
    hosts = [f"{deployment.name}-{index + 1}" for index in range(deployment.hosts)]
    data_centres = [
        deployment.data_centres[index % len(deployment.data_centres)] for index in range(len(hosts))
    ]
    peers = [f"{LOOPBACK}:{deployment.first_port + index}" for index in range(len(hosts))]
    control_hosts = [
        {"host": hosts[i], "data_centre": data_centres[i], "peer_address": peers[i]}
        for i in range(deployment.control_hosts)
    ]
    documents = []
    for index, host in enumerate(hosts):
        is_control = index < deployment.control_hosts
        documents.append(
            {
                "host": host,
                "data_centre": data_centres[index],
                "roles": ["entry", "control"] if is_control else ["entry"],
                "peer_address": peers[index],
                "api_address": f"{LOOPBACK}:{deployment.first_port + API_PORT_OFFSET + index}",
                "data_folder": str(folder / host / "data") if is_control else "",
                "control_hosts": control_hosts,
                "telemetry": {
                    "trace_file": str(folder / host / "spans.jsonl"),
                    "log_level": "info",
                },
            }
        )
    return documents


def build_manifest(deployment: Deployment, number: int = 1) -> dict[str, Any]:
    """
    Build the manifest of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    number : int
        Number of the manifest.

    Returns
    -------
    dict
        The manifest document.
    """
    return {
        "number": number,
        "pipelines": build_pipelines(deployment),
        "models": [{"name": MODEL, "version": "2026-11", "min_warm": 2, "price_per_token": 0.002}],
        "upstreams": build_upstreams(deployment),
        "client_accounts": [
            {"name": name, "weight": weight} for name, weight in ACCOUNTS[deployment.name]
        ],
        "links": [
            {"source": source, "target": target, "delay_ms": 4.0, "price_per_mb": 0.01}
            for source in deployment.data_centres
            for target in deployment.data_centres
            if source != target
        ],
        "weight_store": {"concurrent_loads": 2},
    }


def build_pipelines(deployment: Deployment) -> list[dict[str, Any]]:
    """
    Build the pipelines of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment.

    Returns
    -------
    list of dict
        Pipelines of the manifest.
    """
    generation = [
        {"name": "encode", "kind": "encode", "pool": "encoders", "path": "/encode"},
        {"name": "retrieve", "kind": "retrieve", "pool": "retrievers", "path": "/retrieve"},
        {"name": "rerank", "kind": "rerank", "pool": "rerankers", "path": "/rerank"},
        {
            "name": "generate",
            "kind": "generate",
            "pool": "engines",
            "model": MODEL,
            "expected_ms": 1500,
            "max_tokens": 48,
        },
    ]
    if deployment.name == "kibanda":
        return [
            {"name": "design_brief", "stages": generation, "priority": 6},
            {
                "name": "stock_question",
                "stages": [service_stage("look_up", "order_stock", "/query")],
                "deadline_ms": 2000,
                "priority": 2,
            },
            {
                "name": "place_order",
                "stages": [
                    service_stage("check_stock", "order_stock", "/query"),
                    service_stage("place", "order_stock", "/orders", idempotent=False),
                    service_stage("deposit", "ledger", "/deposits", idempotent=False),
                ],
                "deadline_ms": 5000,
                "priority": 1,
            },
        ]
    return [
        {"name": "assistant", "stages": generation, "priority": 6},
        {
            "name": "slot_list",
            "stages": [service_stage("list", "booking", "/query")],
            "deadline_ms": 1500,
            "priority": 1,
        },
        {
            "name": "book",
            "stages": [service_stage("book", "booking", "/bookings", idempotent=False)],
            "deadline_ms": 5000,
            "priority": 1,
        },
    ]


def service_stage(name: str, pool: str, path: str, *, idempotent: bool = True) -> dict[str, Any]:
    """
    Build the manifest stage that calls a plain service.

    Parameters
    ----------
    name, pool, path : str
        Name of the stage, its pool of upstreams, and the path of the call.
    idempotent : bool
        Whether the call may be repeated.

    Returns
    -------
    dict
        Stage of the manifest.
    """
    return {
        "name": name,
        "kind": "service",
        "pool": pool,
        "path": path,
        "idempotent": idempotent,
        "expected_ms": 50,
    }


def build_upstreams(deployment: Deployment) -> list[dict[str, Any]]:
    """
    Build the upstreams of a deployment, distributed over its data centres.

    Parameters
    ----------
    deployment : Deployment
        The deployment.

    Returns
    -------
    list of dict
        Upstreams of the manifest.
    """
    upstreams: list[dict[str, Any]] = []

    def add(pool: str, kind: str, count: int, **fields: Any) -> None:
        for index in range(count):
            position = len(upstreams)
            data_centre = deployment.data_centres[index % len(deployment.data_centres)]
            port = deployment.first_port + UPSTREAM_PORT_OFFSET + position
            name = f"{pool}-{index + 1}"
            upstreams.append(
                {
                    "name": name,
                    "pool": pool,
                    "kind": kind,
                    "address": f"{LOOPBACK}:{port}",
                    "data_centre": data_centre,
                    "host": f"up-{data_centre}-{name}",
                    **fields,
                }
            )

    add("engines", "engine", deployment.engines, models=[MODEL], capacity=16, cold_slots=2)
    for index, upstream in enumerate(upstreams):
        upstream["checks_fencing"] = index % 2 == 0
    for pool, kind in POOLS.items():
        add(pool, kind, deployment.replicas, capacity=32, cold_slots=4)
    for service, reports in deployment.services.items():
        add(
            service,
            "service",
            deployment.replicas,
            capacity=32,
            cold_slots=4,
            reports_load=reports,
            outcome_path="/outcome",
        )
    return upstreams


def write_deployment(deployment: Deployment, folder: Path) -> list[Path]:
    """
    Write the settings and the manifest of a deployment to files.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    folder : Path
        Target folder; created if missing.

    Returns
    -------
    list of Path
        The settings files.
    """
    folder.mkdir(parents=True, exist_ok=True)
    manifest = folder / f"{deployment.name}.manifest.json"
    manifest.write_text(json.dumps(build_manifest(deployment), indent=2))
    paths = []
    for settings in build_settings(deployment, folder):
        path = folder / f"{settings['host']}.settings.json"
        path.write_text(json.dumps(settings, indent=2))
        paths.append(path)
    return paths
