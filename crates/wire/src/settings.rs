//! Parsing, validation and defaults of the daemon settings.

use std::net::SocketAddr;

use crate::setting::{Admission, Common, Decision, Endpoint, Entry, Kind, Log, Sidecar};

/// Why a settings file was rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The file is not valid TOML, or its fields do not match the schema.
    #[error("{0}")]
    Syntax(String),
    /// The value of a field is invalid.
    #[error("{field}: {text}; {hint}")]
    Field {
        /// Path of the field, such as `common.listen`.
        field: &'static str,
        /// Description of the problem.
        text: String,
        /// How to fix it.
        hint: &'static str,
    },
}

/// Parses and validates the settings of an entry.
///
/// # Errors
///
/// The first problem that validation finds.
///
/// # Examples
///
/// ```
/// let text = r#"
/// host_list = "127.0.0.1:7002"
/// [common]
/// name = "entry-1"
/// domain = "tunis"
/// listen = "127.0.0.1:8080"
/// log_service = "127.0.0.1:7001"
/// "#;
/// let entry = cranberryridge_wire::settings::parse_entry(text).unwrap();
/// assert_eq!(entry.threads, 2);
/// ```
pub fn parse_entry(text: &str) -> Result<Entry, Error> {
    let entry = toml::from_str::<Entry>(text).map_err(|error| Error::Syntax(error.to_string()))?;
    check_common(&entry.common)?;
    check_address("host_list", &entry.host_list)?;
    check_nonzero("threads", u64::from(entry.threads))?;
    check_nonzero("max_body_bytes", u64::from(entry.max_body_bytes))?;
    Ok(entry)
}

/// Parses and validates the settings of a sidecar.
///
/// # Errors
///
/// The first problem that validation finds.
pub fn parse_sidecar(text: &str) -> Result<Sidecar, Error> {
    let sidecar =
        toml::from_str::<Sidecar>(text).map_err(|error| Error::Syntax(error.to_string()))?;
    check_common(&sidecar.common)?;
    check_nonzero("report_ms", u64::from(sidecar.report_ms))?;
    check_nonzero("endpoints", sidecar.endpoints.len() as u64)?;
    for endpoint in &sidecar.endpoints {
        check_address("endpoints.address", &endpoint.address)?;
        check_nonzero("endpoints.slots", u64::from(endpoint.slots))?;
        check_nonzero("endpoints.page_tokens", u64::from(endpoint.page_tokens))?;
    }
    Ok(sidecar)
}

/// Validates the settings that both daemons share.
fn check_common(common: &Common) -> Result<(), Error> {
    check_address("common.listen", &common.listen)?;
    check_address("common.log_service", &common.log_service)?;
    if !common.metrics.is_empty() {
        check_address("common.metrics", &common.metrics)?;
    }
    check_tls(common)?;
    if common.name.is_empty() {
        return Err(Error::Field {
            field: "common.name",
            text: "empty".into(),
            hint: "give each daemon a unique name",
        });
    }
    Ok(())
}

/// Checks that all TLS files are set, or none while the daemon listens on
/// loopback: plain TCP is not allowed on other addresses.
fn check_tls(common: &Common) -> Result<(), Error> {
    let files = [
        &common.tls_authority,
        &common.tls_certificate,
        &common.tls_key,
    ];
    let set_count = files.iter().filter(|file| !file.is_empty()).count();
    if set_count == files.len() {
        return Ok(());
    }
    if set_count > 0 {
        return Err(Error::Field {
            field: "common.tls_authority",
            text: "TLS is only partly configured".into(),
            hint: "give tls_authority, tls_certificate and tls_key together",
        });
    }
    let listen = common.listen.parse::<SocketAddr>();
    if listen.is_ok_and(|listen| listen.ip().is_loopback()) {
        return Ok(());
    }
    Err(Error::Field {
        field: "common.listen",
        text: format!(
            "{:?} is not a loopback address; plain TCP is allowed on loopback only",
            common.listen
        ),
        hint: "give tls_authority, tls_certificate and tls_key",
    })
}

/// Checks that a text is an IP address and port.
fn check_address(field: &'static str, text: &str) -> Result<(), Error> {
    if text.parse::<SocketAddr>().is_ok() {
        return Ok(());
    }
    Err(Error::Field {
        field,
        text: format!("{text:?} is not an IP address and port"),
        hint: "write an IP address and a port, such as 127.0.0.1:8080",
    })
}

/// Checks that a number is not 0.
fn check_nonzero(field: &'static str, value: u64) -> Result<(), Error> {
    if value > 0 {
        return Ok(());
    }
    Err(Error::Field {
        field,
        text: "must not be 0".into(),
        hint: "use at least 1",
    })
}

impl Default for Common {
    fn default() -> Self {
        Self {
            name: "cranberryridge".into(),
            domain: "local".into(),
            listen: "127.0.0.1:0".into(),
            log_service: "127.0.0.1:7001".into(),
            metrics: "".into(),
            log_format: Log::Human,
            tls_authority: "".into(),
            tls_certificate: "".into(),
            tls_key: "".into(),
            drain_ms: 30_000,
            grace_ms: 2_000,
        }
    }
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            common: Common::default(),
            host_list: "127.0.0.1:7002".into(),
            threads: 2,
            max_body_bytes: 8 * 1024 * 1024,
            decision: Decision::default(),
        }
    }
}

impl Default for Endpoint {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7100".into(),
            kind: Kind::Plain,
            serves: "".into(),
            pages: 80,
            page_tokens: 4096,
            slots: 20,
            rate: 8000,
            link: 12_500_000_000,
            fenced: true,
        }
    }
}

impl Default for Sidecar {
    fn default() -> Self {
        Self {
            common: Common::default(),
            report_ms: 100,
            admission: Admission::default(),
            endpoints: Vec::new(),
        }
    }
}
