//! Settings of a node, read from flags and environment variables and validated.
//!
//! A flag overrides a variable, a variable overrides the default. All faults are reported at once.
//! A variable that has the prefix and names no setting is a fault, since it is most likely
//! misspelt.

use crate::operations::operator_client;
use comfreyspread_platform::settings_file;
use comfreyspread_schema::{ids, setting, settings};
use indexmap::IndexMap;
use std::{net, str, sync, time};

/// One fault in the settings.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum SettingFault {
    /// A required setting is absent.
    #[error("{name} is not set; give --{flag} or {variable}")]
    Missing {
        /// Name of the setting.
        name: &'static str,
        /// Flag that sets it.
        flag: Box<str>,
        /// Variable that sets it.
        variable: &'static str,
    },
    /// A value is not allowed.
    #[error("{name} is {value:?}; allowed: {allowed}")]
    Invalid {
        /// Name of the setting.
        name: &'static str,
        /// Value given.
        value: sync::Arc<str>,
        /// Values allowed.
        allowed: Box<str>,
    },
    /// A variable has the prefix but names no setting.
    #[error("{variable} is not a setting")]
    Unknown {
        /// Name of the variable.
        variable: sync::Arc<str>,
    },
}

/// All faults in the settings.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
#[error("the settings are not valid:\n{}", format_faults(faults))]
#[diagnostic(help("`comfreyspread node --help` lists the settings"))]
pub struct SettingsError {
    faults: Vec<SettingFault>,
}

impl SettingsError {
    /// Returns the faults found.
    pub fn faults(&self) -> &[SettingFault] {
        &self.faults
    }
}

fn format_faults(faults: &[SettingFault]) -> Box<str> {
    let lines: Vec<_> = faults.iter().map(|fault| format!("  - {fault}")).collect();
    lines.join("\n").into()
}

/// Validated settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of this node.
    pub node: ids::NodeId,
    /// VM this node runs on.
    pub vm: ids::VmId,
    /// Availability zone of this node.
    pub zone: ids::ZoneId,
    /// Region of this node.
    pub region: ids::RegionId,
    /// Address for callers and operators.
    pub caller_address: net::SocketAddr,
    /// Address for other nodes.
    pub peer_address: net::SocketAddr,
    /// Address at which other nodes reach this one.
    pub advertise_address: net::SocketAddr,
    /// Address of the platform's services.
    pub platform_address: net::SocketAddr,
    /// Peer addresses of other nodes.
    pub seeds: Vec<net::SocketAddr>,
    /// Worker threads.
    pub workers: usize,
    /// Maximum size of a body in bytes.
    pub body_limit: usize,
    /// Maximum bytes of bodies in memory at once, for each listening address.
    pub body_budget: usize,
    /// Maximum size of a head in bytes.
    pub head_limit: usize,
    /// Maximum bytes of unfinished heads in memory at once, for each listening address.
    pub head_budget: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: time::Duration,
    /// Timeout for a request header.
    pub header_timeout: time::Duration,
    /// Timeout for a request body.
    pub body_timeout: time::Duration,
    /// Maximum connections on each listening address.
    pub connection_limit: usize,
    /// Time between heartbeats.
    pub heartbeat_interval: time::Duration,
    /// Time without a reply after which a member is suspected.
    pub suspect_timeout: time::Duration,
    /// Time after which a suspected member is declared failed.
    pub failure_timeout: time::Duration,
    /// Time between polls of the platform.
    pub poll_interval: time::Duration,
    /// Minimum time between reads of the platform's list of VMs.
    pub vm_poll_interval: time::Duration,
    /// Timeout for a response of the platform.
    pub store_timeout: time::Duration,
    /// Era of the store in which claims are granted.
    pub claim_era: ids::StoreEra,
    /// Time between reporting not ready and closing the caller address.
    pub grace_period: time::Duration,
    /// Maximum time to finish requests after the grace period.
    pub shutdown_timeout: time::Duration,
    /// Bytes per second that this node may send to other regions.
    pub link_bytes_per_s: u64,
    /// Part of the exposure share that a version under roll-out gets until it has proved good.
    pub canary_part: f64,
    /// Answers on each route that a version under roll-out needs to prove good.
    pub canary_answers: u64,
    /// Multiple of the other versions' median time that counts as slow.
    pub canary_slow_factor: f64,
    /// Whether one node of a region places requests on engines; none if the platform decides.
    pub placement: Option<bool>,
    /// Minimum level of log lines.
    pub log_level: log::LevelFilter,
    /// Whether log lines are JSON.
    pub log_json: bool,
}

impl NodeSettings {
    /// Reads and validates the settings.
    ///
    /// # Errors
    ///
    /// Fails with all faults found.
    pub fn new(
        flags: &settings::NodeFlags,
        environment: &IndexMap<sync::Arc<str>, sync::Arc<str>>,
    ) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader { flags, environment, faults: Vec::new() };
        reader.reject_unknown_variables();
        let settings = reader.read();
        if reader.faults.is_empty() {
            return Ok(settings);
        }
        Err(SettingsError { faults: reader.faults })
    }
}

struct SettingsReader<'input> {
    flags: &'input settings::NodeFlags,
    environment: &'input IndexMap<sync::Arc<str>, sync::Arc<str>>,
    faults: Vec<SettingFault>,
}

impl SettingsReader<'_> {
    fn reject_unknown_variables(&mut self) {
        for variable in self.environment.keys() {
            let known = settings::SETTING_ROWS.iter().any(|row| row.variable == &**variable);
            let for_operators = variable.starts_with(operator_client::VARIABLE_PREFIX);
            let names_file = **variable == *settings_file::FILE_VARIABLE;
            if variable.starts_with(settings::ENVIRONMENT_PREFIX)
                && !known
                && !for_operators
                && !names_file
            {
                self.faults.push(SettingFault::Unknown { variable: variable.clone() });
            }
        }
    }

    fn read(&mut self) -> NodeSettings {
        let peer_address = self.address("peer_address");
        NodeSettings {
            node: self.identifier("node"),
            vm: self.identifier("vm"),
            zone: self.identifier("zone"),
            region: self.identifier("region"),
            caller_address: self.address("caller_address"),
            peer_address,
            advertise_address: self.advertise_address(peer_address),
            platform_address: self.address("platform_address"),
            seeds: self.seeds(),
            workers: self.count("workers"),
            body_limit: self.count("body_limit"),
            body_budget: self.count("body_budget"),
            head_limit: self.count("head_limit"),
            head_budget: self.count("head_budget"),
            head_timeout: self.duration("head_timeout_ms"),
            header_timeout: self.duration("header_timeout_ms"),
            body_timeout: self.duration("body_timeout_ms"),
            connection_limit: self.count("connection_limit"),
            heartbeat_interval: self.duration("heartbeat_ms"),
            suspect_timeout: self.duration("suspect_ms"),
            failure_timeout: self.duration("lapse_ms"),
            poll_interval: self.duration("poll_ms"),
            vm_poll_interval: self.duration("vm_poll_ms"),
            store_timeout: self.duration("store_timeout_ms"),
            claim_era: self.parse("claim_era", 0, "a whole number"),
            grace_period: self.duration("grace_ms"),
            shutdown_timeout: self.duration("shutdown_ms"),
            link_bytes_per_s: self.parse("link_bytes_per_s", 0, "a whole number"),
            canary_part: self.percent("canary_percent"),
            canary_answers: self.parse("canary_answers", 0, "a whole number"),
            canary_slow_factor: self.percent("canary_slow_percent"),
            placement: self.choice("placement"),
            log_level: self.parse("log_level", log::LevelFilter::Info, "a log level"),
            log_json: &*self.value("log_format") == "json",
        }
    }

    fn value(&mut self, name: &'static str) -> sync::Arc<str> {
        let Some(row) = settings::SETTING_ROWS.iter().find(|row| row.name == name) else {
            return "".into();
        };
        let flag = self.flags.get(name).map(sync::Arc::from);
        let variable = self.environment.get(row.variable).cloned();
        let Some(value) = flag.or(variable).or_else(|| row.default.map(sync::Arc::from)) else {
            let flag = name.replace('_', "-").into();
            self.faults.push(SettingFault::Missing { name, flag, variable: row.variable });
            return "".into();
        };
        if let Some(allowed) = check_value(row.allowed, &value) {
            self.faults.push(SettingFault::Invalid { name, value: value.clone(), allowed });
        }
        value
    }

    fn identifier(&mut self, name: &'static str) -> sync::Arc<str> {
        let fault_count = self.faults.len();
        let value = self.value(name);
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let valid = !value.is_empty() && value.chars().all(is_allowed);
        if !valid && self.faults.len() == fault_count {
            let allowed = "one or more letters, digits, dashes, underscores and dots".into();
            self.faults.push(SettingFault::Invalid { name, value: value.clone(), allowed });
        }
        value
    }

    fn parse<Value>(&mut self, name: &'static str, fallback: Value, allowed: &str) -> Value
    where
        Value: str::FromStr,
    {
        let fault_count = self.faults.len();
        let value = self.value(name);
        if let Ok(parsed) = value.parse() {
            return parsed;
        }
        if self.faults.len() == fault_count {
            self.faults.push(SettingFault::Invalid { name, value, allowed: allowed.into() });
        }
        fallback
    }

    fn address(&mut self, name: &'static str) -> net::SocketAddr {
        let fallback = net::SocketAddr::from(([127, 0, 0, 1], 0));
        self.parse(name, fallback, "an IP address and port, such as 10.0.0.1:8080")
    }

    fn advertise_address(&mut self, peer_address: net::SocketAddr) -> net::SocketAddr {
        if self.value("advertise_address").is_empty() {
            return peer_address;
        }
        self.address("advertise_address")
    }

    fn seeds(&mut self) -> Vec<net::SocketAddr> {
        let value = self.value("seeds");
        let mut seeds = Vec::new();
        for part in value.split(',').filter(|part| !part.is_empty()) {
            match part.trim().parse() {
                Ok(address) => seeds.push(address),
                Err(_) => self.faults.push(SettingFault::Invalid {
                    name: "seeds",
                    value: part.into(),
                    allowed: "IP addresses and ports, separated by commas".into(),
                }),
            }
        }
        seeds
    }

    fn count(&mut self, name: &'static str) -> usize {
        self.parse(name, 0, "a whole number")
    }

    /// Returns whether a feature is on; none for `auto`.
    fn choice(&mut self, name: &'static str) -> Option<bool> {
        match &*self.value(name) {
            "on" => Some(true),
            "off" => Some(false),
            _ => None,
        }
    }

    fn percent(&mut self, name: &'static str) -> f64 {
        f64::from(self.parse(name, 0_u32, "a whole number of percent")) / 100.0
    }

    fn duration(&mut self, name: &'static str) -> time::Duration {
        time::Duration::from_millis(self.parse(name, 0, "a whole number of milliseconds"))
    }
}

/// Returns the description of the allowed values if `value` is not one of them.
fn check_value(allowed: setting::AllowedValues, value: &str) -> Option<Box<str>> {
    match allowed {
        setting::AllowedValues::Text => None,
        setting::AllowedValues::Choices(choices) => {
            (!choices.contains(&value)).then(|| choices.join(", ").into())
        }
        setting::AllowedValues::Range { min, max } => {
            let in_range = value.parse().is_ok_and(|number| (min..=max).contains(&number));
            (!in_range).then(|| format!("{min} to {max}").into())
        }
    }
}
