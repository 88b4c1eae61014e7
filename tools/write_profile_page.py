"""Generate docs/reference/profiles.md from the profile's fields, so that the two can't differ."""

from pathlib import Path
from typing import Final

from persimmonusher_model.profile import PRESETS, Profile

PAGE: Final = Path(__file__).resolve().parent.parent / "docs" / "reference" / "profiles.md"
HEAD: Final = """# Profiles

A profile says how traffic toward one kind of backend server is treated. `persimmonusherctl profiles
create NAME --preset PRESET --set FIELD=VALUE` makes one. A wrong document is refused with all
findings. Written by `tools/write_profile_page.py`.

| field | range | default | for |
| --- | --- | --- | --- |
"""


def make_page() -> str:
    """Return the page as Markdown."""
    rows = [_make_row(name) for name in Profile.model_fields]
    presets = [_make_preset(name) for name in PRESETS]
    return HEAD + "\n".join(rows) + "\n\n## Presets\n\n" + "\n".join(presets) + "\n"


def _make_row(name: str) -> str:
    schema = Profile.model_json_schema()["properties"][name]
    low, high = schema.get("minimum"), schema.get("maximum")
    bounds = f"{low:,} to {high:,}" if low is not None else schema["type"]
    default = schema["default"]
    shown = ", ".join(default) or "none" if isinstance(default, list) else default
    return f"| {name} | {bounds} | {shown} | {schema['description']} |"


def _make_preset(name: str) -> str:
    changed = PRESETS[name].model_dump(exclude_defaults=True)
    fields = ", ".join(f"{field} {value}" for field, value in changed.items())
    return f"- `{name}`: {fields}; all else by default."


if __name__ == "__main__":
    PAGE.write_text(make_page())
