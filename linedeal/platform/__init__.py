"""The platform's protocol: one more route into the engine and out of it. Specified in docs/platform.md."""
