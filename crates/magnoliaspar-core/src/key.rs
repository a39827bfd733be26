slotmap::new_key_type! {
    /// Refers to an entry instance in an arena.
    pub struct InstanceKey;

    /// Refers to a backend server in an arena.
    pub struct ServerKey;

    /// Refers to an availability zone in an arena.
    pub struct ZoneKey;

    /// Refers to a workspace in an arena.
    pub struct WorkspaceKey;

    /// Refers to a request that is waiting or running in an arena.
    pub struct JobKey;
}
