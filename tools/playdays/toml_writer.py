"""Writes plain data as TOML, which the standard library only reads."""
import json
import re

BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")


def _key(name: str) -> str:
    return name if BARE_KEY.fullmatch(name) else json.dumps(name)


def _value(value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, list):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{_key(name)} = {_value(item)}" for name, item in value.items()) + " }"
    raise TypeError(f"{type(value).__name__}: expected a value that TOML can hold")


def _lines(table: dict) -> list[str]:
    return [f"{_key(name)} = {_value(value)}" for name, value in table.items()]


def dumps(document: dict, sections: tuple[str, ...] = ()) -> str:
    """`document` as TOML; the lists named in `sections` as arrays of tables, the rest inline."""
    plain = {name: value for name, value in document.items() if name not in sections}
    lines = _lines(plain)
    for section in sections:
        for table in document.get(section, []):
            lines += ["", f"[[{section}]]", *_lines(table)]
    return "\n".join(lines) + "\n"
