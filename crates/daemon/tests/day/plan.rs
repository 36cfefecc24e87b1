//! Days of a site file: its sizes, load, planned work and faults.

use std::time::Duration;

use toml::{Table, Value};

/// Open runs of an engine for which the time between two pieces is computed.
const USUAL_RUNS: f64 = 5.0;

/// One engine in this many has the same id after a restart, unless the site file states it.
const KEPT_ID_SHARE: usize = 4;

/// Sizes of a site, and its days.
#[derive(Debug)]
pub struct Plan {
    pub name: String,
    /// Service of the streams.
    pub service: String,
    pub hosts: u8,
    pub memory_mb: u32,
    pub engines: u8,
    /// Number of the engines of a further service of models.
    pub other_engines: u8,
    pub slots: usize,
    pub kv_tokens: usize,
    pub connections: usize,
    pub stride: usize,
    pub mean_pieces: u32,
    pub piece_ms: u64,
    /// Share of the streams whose routes may be resumed.
    pub resumable_share: f64,
    /// Tries of a caller for one stream.
    pub tries: usize,
    /// Time between the start of the hosts and the start of traffic.
    pub lead: Duration,
    /// Time between the start of traffic and the closing.
    pub length: Duration,
    /// Time after which a host that was started gets new callers, if the site file states one.
    pub ready: Option<Duration>,
    /// One engine in this many has the same id after a restart.
    pub kept_id_share: usize,
    pub days: Vec<Day>,
}

/// A day.
#[derive(Debug)]
pub struct Day {
    pub name: String,
    pub streams_per_second: f64,
    /// Number of streams that begin at the same time.
    pub clump: usize,
    pub events: Vec<Event>,
}

/// Planned work, a fault or the closing.
#[derive(Clone, Debug)]
pub struct Event {
    pub kind: String,
    /// Time from the start of traffic.
    pub at: Duration,
    pub lasts: Duration,
    pub gap: Duration,
    pub share: Option<f64>,
    pub count: Option<usize>,
    pub x: Option<f64>,
    pub how: String,
    pub service: String,
    pub class: String,
}

impl Plan {
    /// Reads a site file.
    pub fn parse(text: &str) -> Self {
        let site = text.parse::<Table>().expect("a site file is TOML");
        let machines = tables(&site, "machines");
        let fronts = machines.filter(|machine| string(machine, "class") == "front");
        let fronts = fronts.collect::<Vec<_>>();
        let hosts = fronts.iter().map(|front| number(front, "count"));
        let memory = fronts.iter().map(|front| number(front, "memory_mb"));
        let mut services = tables(&site, "services").filter(|service| service.contains_key("llm"));
        let service = services.next().expect("a site has a service of models");
        let other_engines = services.next().map_or(0.0, engines_of);
        let llm = service["llm"].as_table().unwrap();
        let name = string(service, "name");
        let step = number(llm, "step_ms") + USUAL_RUNS * number(llm, "step_ms_per_slot");
        let classes = tables(&site, "classes").filter(|class| string(class, "service") == name);
        let classes = classes.collect::<Vec<_>>();
        let weight = |traffic: &Table, class: &Table| {
            let mix = traffic["mix"].as_table().unwrap();
            let total = mix.keys().map(|name| number(mix, name)).sum::<f64>();
            number(mix, &string(class, "name")) * number(traffic, "per_s") / total
        };
        let rate = |table: &Table, is_counted: fn(&Table) -> bool| {
            let rates = tables(table, "traffic").flat_map(|traffic| {
                let classes = classes.iter().filter(|class| is_counted(class));
                classes.map(move |class| weight(traffic, class))
            });
            rates.sum::<f64>()
        };
        let is_resumable = |class: &Table| class["stream"]["resume"].as_bool() == Some(true);
        let length = seconds(&site, "length_s");
        let days = tables(&site, "day").map(|day| Day {
            name: string(day, "name"),
            streams_per_second: rate(day, |_| true),
            clump: tables(day, "traffic")
                .filter_map(|traffic| traffic.get("shape")?.get("clump")?.as_float())
                .fold(1.0, f64::max) as usize,
            events: events(day, length),
        });
        Self {
            hosts: hosts.sum::<f64>() as u8,
            memory_mb: memory.fold(f64::MAX, f64::min) as u32,
            engines: (engines_of(service) + other_engines) as u8,
            other_engines: other_engines as u8,
            slots: number(service, "slots") as usize,
            kv_tokens: number(llm, "kv_tokens") as usize,
            connections: number(service, "conn_cap") as usize,
            stride: number(llm, "stride") as usize,
            mean_pieces: number(classes[0]["stream"]["pieces"].as_table().unwrap(), "mean") as u32,
            piece_ms: (step * number(llm, "stride")).round() as u64,
            resumable_share: rate(&site, is_resumable) / rate(&site, |_| true),
            tries: 1 + number(classes[0], "retries") as usize,
            lead: seconds(&site, "lead_s"),
            length,
            kept_id_share: site
                .get("kept_id_share")
                .map_or(KEPT_ID_SHARE, |_| number(&site, "kept_id_share") as usize),
            ready: site
                .contains_key("ready_s")
                .then(|| seconds(&site, "ready_s")),
            days: days.collect(),
            name: string(&site, "name"),
            service: name,
        }
    }
}

impl Event {
    /// Returns how many of `all` are struck, at least one.
    pub fn count_of(&self, all: usize) -> usize {
        let share = self
            .share
            .map(|share| (share * all as f64).round() as usize);
        let count = self.count.or(share.filter(|_| self.share != Some(0.0)));
        count.unwrap_or(all).clamp(1, all.max(1))
    }

    /// Returns whether the variant has a word.
    pub fn is(&self, word: &str) -> bool {
        self.how.split(' ').any(|part| part == word)
    }
}

/// Returns planned work, faults and the closing by time.
fn events(day: &Table, length: Duration) -> Vec<Event> {
    let listed = tables(day, "plan").chain(tables(day, "faults"));
    let mut events = listed.map(event).collect::<Vec<_>>();
    if let Some(closing) = day.get("closing").and_then(Value::as_table) {
        let closing = Event {
            at: length,
            lasts: seconds(closing, "down_s"),
            ..event(closing)
        };
        events.push(closing);
    }
    events.sort_by_key(|event| event.at);
    events
}

fn event(table: &Table) -> Event {
    let optional = |name: &str| table.contains_key(name).then(|| number(table, name));
    Event {
        kind: string(table, "kind"),
        at: seconds(table, "at"),
        lasts: seconds(table, "for_s"),
        gap: seconds(table, "gap_s"),
        share: optional("share"),
        count: optional("count").map(|count| count as usize),
        x: optional("x"),
        how: string(table, "how"),
        service: string(table, "service"),
        class: string(table, "class"),
    }
}

/// Returns the number of the engines of a service.
fn engines_of(service: &Table) -> f64 {
    let servers = tables(service, "servers");
    servers.map(|servers| number(servers, "count")).sum()
}

/// Returns the tables of a list, or none if there is no such list.
fn tables<'a>(table: &'a Table, name: &str) -> impl Iterator<Item = &'a Table> {
    let list = table.get(name).and_then(Value::as_array);
    list.into_iter().flatten().filter_map(Value::as_table)
}

/// Returns a text, or an empty one if there is none.
fn string(table: &Table, name: &str) -> String {
    let text = table.get(name).and_then(Value::as_str);
    text.unwrap_or_default().into()
}

/// Returns a number, or 0 if there is none.
fn number(table: &Table, name: &str) -> f64 {
    let value = table.get(name);
    let number = value.and_then(|value| value.as_float().or(value.as_integer().map(|n| n as f64)));
    number.unwrap_or_default()
}

/// Returns a time that is written in seconds.
fn seconds(table: &Table, name: &str) -> Duration {
    Duration::from_secs_f64(number(table, name))
}
