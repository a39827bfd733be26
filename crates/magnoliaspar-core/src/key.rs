//! Arena keys of instances, servers, zones, workspaces and requests.

slotmap::new_key_type! {
    /// The arena key of an entry instance.
    pub struct InstanceKey;

    /// The arena key of a backend server.
    pub struct ServerKey;

    /// The arena key of an availability zone.
    pub struct ZoneKey;

    /// The arena key of a workspace.
    pub struct WorkspaceKey;

    /// The arena key of a waiting or running request.
    pub struct JobKey;
}
