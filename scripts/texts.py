"""Operators' texts for the demo and the measurements."""

LUMEN_KEY = "key of port-louis"
LUMEN_OTHER_KEYS = {"curepipe": "key of curepipe", "mahebourg": "key of mahebourg"}


def operators_text(zones, replica_size=2, replicas_per_zone=1, warm_limit=16,
                   cold_limit=2, ramp_step="500ms", comment=""):
    """Returns Lumen's text with a model service and a booking service."""
    lines = [f"# {comment}", 'operator = "lumen"', "[limits]",
             'max_deadline = "30s"', "max_concurrent_loads = 4"]
    for zone in zones:
        lines += ["[[zones]]", f'name = "{zone}"', 'region = "mauritius"']
    lines += ["[[services]]", 'name = "notes"', 'kind = "model"',
              'model = "notes-70b"', 'version = "3"',
              f"replica_size = {replica_size}", "accelerators = 2",
              f"replicas_per_zone = {replicas_per_zone}",
              f"cold_limit = {cold_limit}", f"warm_limit = {warm_limit}",
              f'ramp_step = "{ramp_step}"', "checks_fence = true",
              "[[services]]", 'name = "booking"', 'kind = "plain"',
              "cold_limit = 16", "warm_limit = 48", 'ramp_step = "500ms"',
              'non_repeatable = [{ method = "POST", path = "/actions/**" }]']
    for name, key in {"port-louis": LUMEN_KEY, **LUMEN_OTHER_KEYS}.items():
        lines += ["[[organisations]]", f'id = "{name}"', "weight = 1",
                  f'api_keys = ["{key}"]']
    return "\n".join(lines) + "\n"
