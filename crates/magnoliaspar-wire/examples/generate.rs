//! Generates the code of the messages between instances and writes it to `src/generated`.
//!
//! With `--check` it writes nothing and fails if the committed code is not up to date.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs};

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let committed = root.join("src/generated/magnoliaspar.peer.v1.rs");
    let generated = generate(root)?;
    if !env::args().any(|arg| arg == "--check") {
        fs::write(&committed, generated)?;
        return Ok(ExitCode::SUCCESS);
    }
    if fs::read_to_string(&committed)? == generated {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("the generated code is not up to date; run this program without --check");
    Ok(ExitCode::FAILURE)
}

fn generate(root: &Path) -> Result<String, Box<dyn Error>> {
    let out: PathBuf = env::temp_dir().join(format!("magnoliaspar-wire-{}", std::process::id()));
    fs::create_dir_all(&out)?;
    let descriptors = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])?;
    tonic_prost_build::configure().btree_map(".").out_dir(&out).compile_fds(descriptors)?;
    let code = fs::read_to_string(out.join("magnoliaspar.peer.v1.rs"))?;
    fs::remove_dir_all(&out)?;
    Ok(code)
}
