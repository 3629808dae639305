"""Converts the settings object of an instance to `Settings`; used by both the adapter and the sender."""

from typing import Any

from message_sender import interface as face

EFFECTS = {"repeatable": face.Effect.SAFE, "by_key": face.Effect.KEYED, "once": face.Effect.UNSAFE}


def settings_from(info: dict[str, Any], ends_acknowledged: bool = False) -> face.Settings:
    """The settings in `info`. `ends_acknowledged`: this sender reports answers by EndAcknowledged."""
    limits, safety, specifics = info["limits"], info["safety"], info["specifics"]
    zones, models = info["zones"], info["models"]
    classes = tuple(
        face.MessageClass(
            name=each["name"],
            aim=each["aim"],
            deadline=each["deadline"],
            worth=each["credit"],
            late_worth=each["late_worth"],
            effect=EFFECTS[each["semantics"]],
            window=each.get("dedup_window", 0),
            window_by_zone=each.get("key_scope", "all") != "all",
            in_order=each.get("serial_by_key", False),
        )
        for each in info["services"]
    )
    kinds = tuple(
        (name, face.Kind(batch=batch, apart=apart))
        for name, batch, apart in zip(
            models,
            specifics.get("batch_by_kind") or [1] * len(models),
            specifics.get("own_limits") or [False] * len(models),
            strict=False,
        )
    )
    return face.Settings(
        classes=classes,
        kinds=kinds,
        slots=specifics["slots"],
        max_open=limits["max_open"],
        max_attempts=limits["attempts_cap"],
        zone=info["locality"],
        tick=info["tick"],
        fleet_size=info["fleet_size"],
        tenants=tuple((each["name"], each["quota_per_s"]) for each in info.get("customers") or ()),
        over_share_worth=info.get("over_share_worth", 1.0),
        halves=specifics.get("loses_worth") == "halves",
        zone_fees=tuple(zip(zones, specifics.get("zone_fee") or (), strict=False)),
        must_subscribe=info["membership_mode"] == "on_request",
        ask_within=safety.get("ask_within", 10_000_000),
        rates_announced=info.get("weight_kind") == "nominal",
        may_cancel=limits["cancelling"],
        max_retry_after=limits.get("max_retry_after", 0),
        cold=safety["cold"],
        cold_from=safety["cold_from"],
        fall_multiple=safety["fall_multiple"],
        conn_idle=limits["conn_idle"],
        connect_timeout=limits.get("connect_timeout", 1_500_000),
        key_quiet=safety.get("key_quiet", 0),
        drain_grace=safety["drain_grace"],
        ends_acknowledged=ends_acknowledged,
    )
