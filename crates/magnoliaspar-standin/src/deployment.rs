//! A deployment of stand-ins on loopback addresses, with its configuration.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use displaydoc::Display;
use magnoliaspar_configuration::{Acceptance, Configuration, ConfigurationStore, Proposal};
use magnoliaspar_core::{Incarnation, InstanceName, ModelName, PoolName, ZoneName};
use magnoliaspar_declaration::{DeclarationFiles, Document};
use magnoliaspar_http::ServerError;
use magnoliaspar_serve::Addresses;
use magnoliaspar_settings::{
    LogSettings, OperatorKey, OperatorRights, PeerKeys, PlatformSettings, Secret, Settings,
};
use magnoliaspar_store::{
    Backoff, ListEntry, ListState, ListedKind, ServerRole, TimerSleep, WriteToken,
};
use serde_json::json;

use crate::{
    ModelEngine, ModelEngineRole, ModelEngineSpec, PlainService, Platform, PlatformEndpoint,
};

/// Name of the model that the engines serve.
pub const MODEL: &str = "assessor-llm";

/// API key of a caller; its workspace is `council`.
pub const CALLER_KEY: &str = "playground-caller-key";

/// Key of an operator with the right to give commands.
pub const OPERATOR_KEY: &str = "playground-operator-key";

/// Key of an operator with read-only rights.
pub const READER_KEY: &str = "playground-reader-key";

/// Key with which instances authenticate to each other.
pub const PEER_KEY: &str = "playground-peer-key";

/// Maximum duration of a drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// The zones and backend servers of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// The names of the availability zones.
    pub zones: Vec<Box<str>>,
    /// Number of prefill engines in each zone.
    pub prefills: usize,
    /// Number of decode engines in each zone.
    pub decodes: usize,
    /// Number of servers of the plain service in each zone.
    pub services: usize,
    /// Capacity and timing of each prefill engine.
    pub prefill: ModelEngineSpec,
    /// Capacity and timing of each decode engine.
    pub decode: ModelEngineSpec,
}

impl DeploymentSpec {
    /// Returns a deployment with two prefill engines, two decode engines and one plain server in
    /// each zone.
    pub fn small(zones: &[&str]) -> Self {
        let model = ModelName::try_from(MODEL).expect("the name is valid");
        Self {
            zones: zones.iter().map(|zone| Box::from(*zone)).collect(),
            prefills: 2,
            decodes: 2,
            services: 1,
            prefill: ModelEngineSpec::small(ModelEngineRole::Prefill, model.clone()),
            decode: ModelEngineSpec::small(ModelEngineRole::Decode, model),
        }
    }
}

/// The running stand-ins of a deployment.
pub struct Deployment {
    /// The platform, which all zones share.
    pub platform: Platform,
    /// The availability zones.
    pub zones: Vec<ZoneStandIns>,
}

/// The stand-ins of one availability zone.
pub struct ZoneStandIns {
    /// The name of the zone.
    pub name: ZoneName,
    /// The endpoint of the platform for this zone.
    pub platform_endpoint: PlatformEndpoint,
    /// The prefill engines.
    pub prefills: Vec<ModelEngine>,
    /// The decode engines.
    pub decodes: Vec<ModelEngine>,
    /// The servers of the plain service.
    pub services: Vec<PlainService>,
}

/// An error in the start of a deployment or in the settings of an instance.
#[derive(Debug)]
#[derive(Display)]
pub enum DeploymentError {
    /// {0}
    Listen(ServerError),
    /// invalid name: {0}
    Name(magnoliaspar_core::NameError),
    /// invalid declarations: {0}
    Declarations(magnoliaspar_core::Findings),
}

impl std::error::Error for DeploymentError {}

impl From<ServerError> for DeploymentError {
    fn from(error: ServerError) -> Self {
        Self::Listen(error)
    }
}

impl From<magnoliaspar_core::NameError> for DeploymentError {
    fn from(error: magnoliaspar_core::NameError) -> Self {
        Self::Name(error)
    }
}

impl Deployment {
    /// Starts all stand-ins on the current thread and applies the declarations.
    pub async fn start(spec: &DeploymentSpec) -> Result<Self, DeploymentError> {
        let platform = Platform::new();
        let mut zones = Vec::new();
        for name in &spec.zones {
            zones.push(start_zone(&platform, spec, name).await?);
        }
        let deployment = Self { platform, zones };
        deployment.accept_configuration(&declarations()?).await;
        Ok(deployment)
    }

    /// Adds a running instance to the platform's instance list, as the real platform does.
    pub fn register_instance(&self, settings: &Settings, addresses: Addresses) {
        self.platform.instances.put(ListEntry {
            name: settings.instance.as_str().into(),
            kind: ListedKind::Instance {
                callers: addresses.callers,
                operators: addresses.operators,
            },
            zone: settings.zone.clone(),
            address: addresses.peers,
            incarnation: Incarnation(1),
            state: ListState::Live,
        });
    }

    /// Returns the number of KV memory pieces in use on all engines.
    pub fn used_pieces(&self) -> u32 {
        let mut used = 0;
        for zone in &self.zones {
            for engine in zone.prefills.iter().chain(&zone.decodes) {
                used += engine.used_pieces();
            }
        }
        used
    }

    /// Returns the number of KV memory pieces in use on decode engines.
    pub fn used_decode_pieces(&self) -> u32 {
        let mut used = 0;
        for zone in &self.zones {
            used += zone.decodes.iter().map(ModelEngine::used_pieces).sum::<u32>();
        }
        used
    }

    /// Returns the settings of an instance that listens on free loopback ports.
    pub fn settings(&self, zone: usize, name: &str) -> Result<Settings, DeploymentError> {
        let zone = &self.zones[zone];
        let platform = zone.platform_endpoint.address();
        Ok(Settings {
            instance: InstanceName::try_from(name)?,
            zone: zone.name.clone(),
            callers: loopback_any_port(),
            peers: loopback_any_port(),
            operators: loopback_any_port(),
            seeds: Box::default(),
            platform: PlatformSettings {
                table: platform,
                objects: platform,
                weights: platform,
                instances: platform,
            },
            peer_keys: PeerKeys { current: Secret::new(PEER_KEY), other: None },
            operator_keys: Box::new([
                OperatorKey {
                    name: "on-call".into(),
                    key: Secret::new(OPERATOR_KEY),
                    rights: OperatorRights::Command,
                },
                OperatorKey {
                    name: "dashboard".into(),
                    key: Secret::new(READER_KEY),
                    rights: OperatorRights::Read,
                },
            ]),
            log: LogSettings { filter: "warn".into() },
            drain_limit: DRAIN_LIMIT,
        })
    }

    /// Stores `document` as the next configuration version, as an operator's command does.
    pub async fn accept_configuration(&self, document: &Document) {
        let table = Rc::new(self.platform.table.clone());
        let objects = Rc::new(self.platform.objects.clone());
        let store = ConfigurationStore::new(table, objects, Backoff::new(Rc::new(TimerSleep)));
        let mut configuration = Configuration::new();
        for delta in store.updates_since(0).await.expect("no fault is on").deltas {
            configuration.receive(delta);
        }
        let proposal = Proposal {
            expected_version: configuration.version(),
            delta: configuration.document().diff(document),
            operator: "deployment".into(),
            command: "put declarations in force".into(),
            at: SystemTime::now(),
            token: WriteToken(format!("{:x}", rand::random::<u64>()).into()),
        };
        let acceptance = store.accept(&mut configuration, &proposal).await;
        assert!(matches!(acceptance, Acceptance::Accepted { .. }), "{acceptance:?}");
    }
}

/// Returns the pools, routes and workspaces of the deployment.
pub fn declarations() -> Result<Document, DeploymentError> {
    let digest = sha256_hex(CALLER_KEY);
    let service = |prefix: &str, repeat: &str| {
        json!({
            "service": { "prefix": prefix, "pool": "grants-app", "repeat": repeat },
            "limits": { "duration": "10s", "progress": "1s" },
        })
    };
    let text = json!({
        "pools": {
            "assessor-prefill": { "kind": "prefill", "fencing": true },
            "assessor-decode": { "kind": "decode", "fencing": true },
            "grants-app": { "kind": "service" },
        },
        "routes": {
            "assess": {
                "completion": {
                    "model": MODEL,
                    "version": "1",
                    "prefill_pool": "assessor-prefill",
                    "decode_pool": "assessor-decode",
                    "weights": { "wasted_prefill": 0.7, "goodput": 0.3 },
                    "wait": "may_wait",
                    "ttft_target": "970ms",
                    "itl_target": "62ms",
                    "expected_output_tokens": 40,
                },
                "limits": { "duration": "60s", "progress": "5s" },
            },
            "payouts": service("/grants/payouts", "at_most_once"),
            "notes": service("/grants/notes", "idempotent"),
            "status": service("/grants/status", "lookup"),
        },
        "workspaces": {
            "council": { "share": 1, "concurrency": 1000, "key_digests": [digest] },
        },
    });
    let mut files = DeclarationFiles::new();
    files.add(&text.to_string(), "playground.json");
    let checked = files.check().map_err(DeploymentError::Declarations)?;
    Ok(checked.document)
}

async fn start_zone(
    platform: &Platform,
    spec: &DeploymentSpec,
    name: &str,
) -> Result<ZoneStandIns, DeploymentError> {
    let platform_endpoint = platform.listen(loopback_any_port()).await?;
    let mut zone = ZoneStandIns {
        name: ZoneName::try_from(name)?,
        platform_endpoint,
        prefills: Vec::new(),
        decodes: Vec::new(),
        services: Vec::new(),
    };
    for number in 1..=spec.prefills {
        let engine = ModelEngine::start(loopback_any_port(), spec.prefill.clone()).await?;
        let server = format!("{name}-prefill-{number}");
        register_server(platform, &zone.name, &server, engine.address(), ServerRole::Prefill)?;
        zone.prefills.push(engine);
    }
    for number in 1..=spec.decodes {
        let engine = ModelEngine::start(loopback_any_port(), spec.decode.clone()).await?;
        let server = format!("{name}-decode-{number}");
        register_server(platform, &zone.name, &server, engine.address(), ServerRole::Decode)?;
        zone.decodes.push(engine);
    }
    for number in 1..=spec.services {
        let service = PlainService::start(loopback_any_port()).await?;
        let server = format!("{name}-grants-{number}");
        register_server(platform, &zone.name, &server, service.address(), ServerRole::Service)?;
        zone.services.push(service);
    }
    Ok(zone)
}

fn register_server(
    platform: &Platform,
    zone: &ZoneName,
    name: &str,
    address: SocketAddr,
    role: ServerRole,
) -> Result<(), DeploymentError> {
    let (pool, model) = match role {
        ServerRole::Prefill => ("assessor-prefill", Some(ModelName::try_from(MODEL)?)),
        ServerRole::Decode => ("assessor-decode", Some(ModelName::try_from(MODEL)?)),
        ServerRole::Service => ("grants-app", None),
    };
    platform.instances.put(ListEntry {
        name: name.into(),
        kind: ListedKind::Server { pool: PoolName::try_from(pool)?, role, model, is_fencing: true },
        zone: zone.clone(),
        address,
        incarnation: Incarnation(1),
        state: ListState::Live,
    });
    Ok(())
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn sha256_hex(key: &str) -> String {
    use sha2::{Digest, Sha256};
    let mut hex = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        hex.push_str(&format!("{byte:02x}"));
    }
    hex
}
