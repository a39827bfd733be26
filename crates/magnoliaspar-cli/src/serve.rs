//! The command `serve`.

use magnoliaspar_serve::Exit;

use crate::args::ServeArgs;
use crate::check::read_settings;
use crate::client::block_on;
use crate::failure::Failure;
use crate::logs;

/// Runs an instance until it receives a stop signal and has drained.
pub(crate) fn serve(args: &ServeArgs) -> Result<(), Failure> {
    let Some(file) = &args.settings else {
        return Err(Failure::Usage("--settings is missing".into()));
    };
    let settings = read_settings(file)?;
    let _logs = logs::start(&settings.log).map_err(|err| Failure::Other(err.to_string().into()))?;
    let instance = settings.instance.clone();
    log::info!(instance = instance.as_str(); "the instance starts");
    let exit = block_on(magnoliaspar_serve::serve(settings));
    match exit.map_err(|err| Failure::Other(err.to_string().into()))? {
        Exit::Drained => {
            log::info!(instance = instance.as_str(); "the instance has drained");
            Ok(())
        }
        Exit::Cut { requests } => {
            let message =
                format!("the drain exceeded its time limit, {requests} requests were aborted");
            log::error!(instance = instance.as_str(); "{message}");
            Err(Failure::Other(message.into()))
        }
    }
}
