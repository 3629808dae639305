"""The message sender: schedules notifications, with a circuit breaker per destination."""

from message_sender.rules import Dispatcher

__all__ = ["Dispatcher"]
