"""Configurations of the soak: the same routes each time, and one whose prefix carries a tag."""
import json

HOSTNAME = "soak.example"
TENANT = "tenant-one"
API_KEY = "key-of-tenant-one"
TAG_PREFIX = "/v/"
JOBS_PREFIX = "/jobs/"


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """One route of the hostname."""
    return {"name": name, "hostname": HOSTNAME, "pathPrefix": prefix, "routeKind": kind,
            "timeoutMs": 2000, "sloMs": 300, "priority": 0, "service": service,
            "maxAttempts": 3, "public": True, **more}


def tag_route(tag: str) -> dict[str, object]:
    """The route that tells two configurations apart."""
    return route("r-tag", f"{TAG_PREFIX}{tag}/", "idempotent", "svc-a")


def whole(version: int, tag: str) -> bytes:
    """A whole configuration."""
    routes = [
        tag_route(tag),
        route("r-get", "/get/", "idempotent", "svc-a"),
        route("r-post", "/post/", "non_idempotent", "svc-a", public=False),
        route("r-stream", "/stream/", "streaming", "svc-a", gap_aim_ms=200),
        route("r-resume", "/resume/", "streaming", "svc-b", gap_aim_ms=200, resumable=True),
        route("r-jobs", JOBS_PREFIX, "batch", "svc-b", public=False, runAimMs=20000, keepS=300),
    ]
    services = [
        {"name": "svc-a", "healthPath": "/health", "maxConns": 250},
        {"name": "svc-b", "healthPath": "/health", "maxConns": 250,
         "engine": {"slots": 32, "kvTokens": 100000},
         "autoscale": {"min": 1, "max": 3, "bootS": 4}},
    ]
    tenants = [{"name": TENANT, "apiKeys": [API_KEY]}]
    return json.dumps({"configVersion": version, "routes": routes, "services": services,
                       "tenants": tenants}).encode()


def patch(version: int, tag: str) -> bytes:
    """A change of the tag alone."""
    return json.dumps({"configVersion": version,
                       "upsert": {"routes": [tag_route(tag)]}}).encode()


def read(document: bytes) -> tuple[int, str]:
    """Version and tag of a whole configuration. Raises ValueError where it is none."""
    tree = json.loads(document)
    prefixes = [each["pathPrefix"] for each in tree.get("routes", []) if each["name"] == "r-tag"]
    tag = prefixes[0].removeprefix(TAG_PREFIX).rstrip("/") if prefixes else ""
    return tree["configVersion"], tag
