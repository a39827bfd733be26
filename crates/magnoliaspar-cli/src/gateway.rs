//! The command `gateway`.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use magnoliaspar_adapter::{PlatformHeaders, connect};
use magnoliaspar_core::{Finding, SystemClock};
use magnoliaspar_gateway::{Gateway, GatewaySettings, Instance, Reload, stop_signal};
use magnoliaspar_http::ServerError;
use magnoliaspar_json::Source;

use crate::args::GatewayArgs;
use crate::client::block_on;
use crate::failure::Failure;
use crate::logs;
use crate::panics::{self, FlushOnDrop};

/// Runs a gateway until it receives a stop signal and has drained.
pub(crate) fn gateway(args: &GatewayArgs) -> Result<(), Failure> {
    let Some(file) = &args.settings else {
        return Err(Failure::Usage("--settings is missing".into()));
    };
    let text = std::fs::read_to_string(&**file)
        .map_err(|cause| Failure::File { file: file.clone(), cause })?;
    let settings = read_settings(&text, file)?;
    let (logs, dropped) = logs::start_bounded(&settings.log, &settings.instance)
        .map_err(|err| Failure::Other(err.to_string().into()))?;
    let _flush = FlushOnDrop;
    let platform = connect(settings.store);
    let reload = reload_settings(file.clone(), text.into());
    block_on(async {
        let gateway = Gateway::new(settings, Rc::new(SystemClock), Rc::new(PlatformHeaders));
        gateway.metrics.set_dropped_lines(Box::new(move || {
            (dropped.routine.load(Ordering::Relaxed), dropped.failures.load(Ordering::Relaxed))
        }));
        let panics = gateway.metrics.panics.clone();
        panics::install_hook(Box::new(move || panics.inc()));
        let instance = Instance::bind(gateway.clone()).await?;
        let stop = stop_signal(gateway, reload.clone());
        instance.run(platform, reload, stop).await;
        logs.flush();
        Ok::<_, ServerError>(())
    })
    .map_err(|err| Failure::Other(err.to_string().into()))
}

/// Reads and checks the settings of a gateway, including the log filter.
pub(crate) fn read_settings(text: &str, file: &str) -> Result<GatewaySettings, Failure> {
    let settings = GatewaySettings::read(text, file)?;
    if let Err(err) = logs::read_filter(&settings.log) {
        let finding = Finding::at("$.log", err.to_string());
        return Err(Source::parse(text, file)?.locate(finding.into()).into());
    }
    Ok(settings)
}

/// Returns the function that reloads the settings if the file has changed.
///
/// If the new settings have findings, the old ones stay in force.
fn reload_settings(file: Box<str>, text: Box<str>) -> Reload {
    let last_text = RefCell::new(text);
    Rc::new(move |gateway: &Gateway| {
        let text = match std::fs::read_to_string(&*file) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(file = &*file, reason:% = error; "settings_unreadable");
                return;
            }
        };
        if *text == **last_text.borrow() {
            return;
        }
        match read_settings(&text, &file) {
            Ok(settings) => {
                log::info!(file = &*file; "settings_reloaded");
                if let Some(peers) = gateway.peers() {
                    peers.set_seeds(settings.seeds.clone());
                }
                gateway.settings.replace(Rc::new(settings));
            }
            Err(failure) => {
                log::error!(file = &*file, findings:% = failure; "settings_refused");
            }
        }
        last_text.replace(text.into());
    })
}
