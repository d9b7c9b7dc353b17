"""What each change of a configuration means for callers, in flight and new."""

from __future__ import annotations

KEPT = "requests in flight end as they were admitted; the next ones follow the change"
NEXT_CHOICE = "requests in flight follow it when they are next sent to a server"
NEXT_REQUEST = "it holds from the next request of each connection"
NOTHING = "no request is affected"

ADDED_EFFECTS = {
    "route": "its requests were answered 404, or matched a shorter prefix; requests in "
    "flight end as they were admitted",
    "service": "requests in flight are sent to it only if their route named it before",
    "workspace": NOTHING + " until its keys are used",
    "workspaces": "callers without a key are answered 401 where routes need one; "
    "requests in flight end",
    "key": "its callers were answered 401; their next request is admitted",
}
REMOVED_EFFECTS = {
    "route": "requests in flight end by its limits; the next ones match a shorter "
    "prefix, or are answered 404",
    "service": "requests in flight end on its servers as long as these are listed, "
    "without figures to predict their wait",
    "workspace": "requests in flight end; those of its keys that no workspace has are "
    "then answered 401, except on routes that admit callers without one",
    "workspaces": "the next requests are admitted without a key; requests in flight "
    "end as they were admitted",
    "key": "requests in flight end; the next ones are answered 401, except on routes "
    "that admit callers without a key",
}
FIELD_EFFECTS = {
    ("limits", "header_bytes"): NEXT_REQUEST,
    ("limits", "body_bytes"): NEXT_REQUEST,
    ("limits", "header_timeout_s"): NEXT_REQUEST,
    ("limits", "idle_timeout_s"): "a longer one holds at once, a shorter one from the "
    "next request of each connection",
    ("route", "host"): "requests in flight end; the next ones to the former host are "
    "matched by another route, or are answered 404",
    ("route", "path_prefix"): "requests in flight end; the next ones to the former "
    "prefix are matched by another route, or are answered 404",
    ("route", "kind"): KEPT,
    ("route", "services"): KEPT,
    ("route", "timeout_s"): KEPT,
    ("route", "objective_s"): KEPT,
    ("route", "priority"): KEPT,
    ("route", "max_attempts"): KEPT,
    ("route", "anonymous"): KEPT,
    ("route", "resumable"): KEPT,
    ("route", "pause_s"): KEPT,
    ("route", "regions"): NEXT_CHOICE,
    ("service", "max_connections"): NOTHING,
    ("service", "engine"): NEXT_CHOICE,
    ("service", "models"): NOTHING,
    ("service", "origin"): NOTHING + ": pieces of weights are then read from there",
    ("service", "cold_start_s"): NEXT_CHOICE,
    ("service", "cold_per_s"): NEXT_CHOICE,
    ("workspace", "priority"): KEPT,
    ("workspace", "regions"): NEXT_CHOICE,
}
