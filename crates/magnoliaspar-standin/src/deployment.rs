//! A deployment of stand-ins on loopback addresses.

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
    ModelEngine, ModelEngineRole, ModelEngineSpec, PlainService, Platform, PlatformAccess,
};

/// The model that the stand-ins serve.
pub const MODEL: &str = "assessor-llm";

/// The key of a caller of the workspace `council`.
pub const CALLER_KEY: &str = "playground-caller-key";

/// The key of an operator who may give commands.
pub const OPERATOR_KEY: &str = "playground-operator-key";

/// The key of an operator who may only read.
pub const READER_KEY: &str = "playground-reader-key";

/// The key of the links between instances.
pub const PEER_KEY: &str = "playground-peer-key";

/// How long a drain may take.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// What a deployment consists of.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// The availability zones.
    pub zones: Vec<Box<str>>,
    /// How many prefill engines a zone has.
    pub prefills: usize,
    /// How many decode engines a zone has.
    pub decodes: usize,
    /// How many servers of the plain service a zone has.
    pub services: usize,
    /// The sizes of prefill engines.
    pub prefill: ModelEngineSpec,
    /// The sizes of decode engines.
    pub decode: ModelEngineSpec,
}

impl DeploymentSpec {
    /// Returns a deployment with engines of the smallest useful number in each zone.
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
    /// The platform.
    pub platform: Platform,
    /// The availability zones.
    pub zones: Vec<ZoneStandIns>,
}

/// The stand-ins of one availability zone.
pub struct ZoneStandIns {
    /// The name of the zone.
    pub name: ZoneName,
    /// The zone's way to the platform.
    pub access: PlatformAccess,
    /// The prefill engines.
    pub prefills: Vec<ModelEngine>,
    /// The decode engines.
    pub decodes: Vec<ModelEngine>,
    /// The servers of the plain service.
    pub services: Vec<PlainService>,
}

/// Why a deployment cannot start.
#[derive(Debug)]
#[derive(Display)]
pub enum DeploymentError {
    /// {0}
    Listen(ServerError),
    /// a name is not valid: {0}
    Name(magnoliaspar_core::NameError),
    /// the declarations are wrong: {0}
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
    /// Starts all stand-ins on the current thread and puts the declarations in force.
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

    /// Adds an instance to the platform's list, as the platform does once an instance runs.
    pub fn enlist_instance(&self, settings: &Settings, addresses: Addresses) {
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

    /// Returns how many pieces of memory are in use on all engines.
    pub fn used_pieces(&self) -> u32 {
        let mut used = 0;
        for zone in &self.zones {
            for engine in zone.prefills.iter().chain(&zone.decodes) {
                used += engine.used_pieces();
            }
        }
        used
    }

    /// Returns how many pieces of memory are in use on decode engines.
    pub fn decoding_pieces(&self) -> u32 {
        let mut used = 0;
        for zone in &self.zones {
            used += zone.decodes.iter().map(ModelEngine::used_pieces).sum::<u32>();
        }
        used
    }

    /// Returns settings for an instance, with free ports.
    pub fn settings(&self, zone: usize, name: &str) -> Result<Settings, DeploymentError> {
        let zone = &self.zones[zone];
        let platform = zone.access.address();
        Ok(Settings {
            instance: InstanceName::try_from(name)?,
            zone: zone.name.clone(),
            callers: any_port(),
            peers: any_port(),
            operators: any_port(),
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

    /// Accepts declarations at the platform, as an operator does.
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

/// Returns the declarations of the deployment.
pub fn declarations() -> Result<Document, DeploymentError> {
    let digest = hex_digest(CALLER_KEY);
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
    let access = platform.listen(any_port()).await?;
    let mut zone = ZoneStandIns {
        name: ZoneName::try_from(name)?,
        access,
        prefills: Vec::new(),
        decodes: Vec::new(),
        services: Vec::new(),
    };
    for number in 1..=spec.prefills {
        let engine = ModelEngine::start(any_port(), spec.prefill.clone()).await?;
        let server = format!("{name}-prefill-{number}");
        enlist(platform, &zone.name, &server, engine.address(), ServerRole::Prefill)?;
        zone.prefills.push(engine);
    }
    for number in 1..=spec.decodes {
        let engine = ModelEngine::start(any_port(), spec.decode.clone()).await?;
        let server = format!("{name}-decode-{number}");
        enlist(platform, &zone.name, &server, engine.address(), ServerRole::Decode)?;
        zone.decodes.push(engine);
    }
    for number in 1..=spec.services {
        let service = PlainService::start(any_port()).await?;
        let server = format!("{name}-grants-{number}");
        enlist(platform, &zone.name, &server, service.address(), ServerRole::Service)?;
        zone.services.push(service);
    }
    Ok(zone)
}

fn enlist(
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

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn hex_digest(key: &str) -> String {
    use sha2::{Digest, Sha256};
    let mut hex = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        hex.push_str(&format!("{byte:02x}"));
    }
    hex
}
