"""The message sender: decisions of a dispatcher of notifications, a circuit breaker per destination."""

from message_sender.rules import Dispatcher

__all__ = ["Dispatcher"]
