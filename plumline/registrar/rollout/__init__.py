"""Roll-out of model versions to endpoints: the singleton job of the `weights` lease's holder."""
