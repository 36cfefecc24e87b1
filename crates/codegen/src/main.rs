//! Generates the Rust types of `cranberryridge-wire` from the JSON schemas in `schema/`.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{bail, Context, Result};
use typify::{TypeSpace, TypeSpaceSettings};

/// Schema types that are replaced by hand-written types, with their paths.
const HAND_WRITTEN: &[(&str, &str)] = &[
    ("Text", "::compact_str::CompactString"),
    ("Blob", "crate::blob::Blob"),
    ("Millis", "crate::time::Millis"),
    ("RequestId", "crate::id::Request"),
    ("Incarnation", "crate::id::Incarnation"),
    ("Digest", "crate::id::Digest"),
    ("Version", "crate::id::Version"),
    ("Code", "crate::code::Code"),
];

/// Types of a module that are those of another module, with their paths.
const SHARED: &[(&str, &str, &str)] = &[("schedule", "Suspect", "crate::message::Suspect")];

/// Names of the generated modules, which are also the names of the schema files.
const MODULES: &[&str] = &["message", "record", "schedule", "setting"];

fn main() -> Result<()> {
    let mut options = getopts::Options::new();
    options.optflag(
        "",
        "check",
        "compare with the committed files without writing them",
    );
    options.optflag("h", "help", "show this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("Usage: cranberryridge-codegen [--check]")
        );
        return Ok(());
    }

    let root = workspace_root();
    for module in MODULES {
        let code = generate(&root, module)?;
        let path = output_path(&root, module);
        if matches.opt_present("check") {
            check_up_to_date(&path, &code)?;
        } else {
            fs::write(&path, code).with_context(|| format!("cannot write {}", path.display()))?;
        }
    }
    Ok(())
}

/// The root directory of the workspace.
fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The file that a module is generated into.
fn output_path(root: &Path, module: &str) -> PathBuf {
    root.join(format!("crates/wire/src/generated/{module}.rs"))
}

/// Generates the Rust code of a module from its schema.
fn generate(root: &Path, module: &str) -> Result<String> {
    let path = root.join(format!("schema/{module}.json"));
    let text =
        fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
    let schema = serde_json::from_str::<schemars::schema::RootSchema>(&text)
        .with_context(|| format!("{} is not a JSON schema", path.display()))?;

    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let shared = SHARED.iter().filter(|(user, ..)| *user == module);
    let shared = shared.map(|(_, name, path)| (name, path));
    let hand_written = HAND_WRITTEN.iter().map(|(name, path)| (name, path));
    for (name, replacement) in hand_written.chain(shared) {
        settings.with_replacement(*name, *replacement, std::iter::empty());
    }

    let mut type_space = TypeSpace::new(&settings);
    type_space.add_root_schema(schema)?;
    let file = syn::parse2::<syn::File>(type_space.to_stream())?;
    let header = format!("// Generated from schema/{module}.json by cranberryridge-codegen.\n\n");
    let body = prettyplease::unparse(&file).replace("///", "/// ");
    Ok(header + &body)
}

/// Fails if the committed file differs from the generated code.
fn check_up_to_date(path: &Path, code: &str) -> Result<()> {
    let committed = fs::read_to_string(path).unwrap_or_default();
    if committed != code {
        bail!(
            "{} is out of date; run `cargo run -p cranberryridge-codegen`",
            path.display()
        );
    }
    Ok(())
}
