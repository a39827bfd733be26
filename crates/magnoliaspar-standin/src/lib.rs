//! Small stand-ins for backend servers and the platform, for tests and the playground.
