//! The table of the operator file's fields. Each entry defines the allowed values of a field and explains it.

/// The type and range of a field's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// One of these strings.
    Choice(&'static [&'static str]),
    /// Text of one byte up to this number of bytes.
    Text(usize),
    /// A whole number in this range, both ends included.
    Integer(u64, u64),
    /// An IP address and port.
    Address,
    /// The path of a file. A relative path starts at the operator file's folder.
    File,
    /// A list of up to this number of values of this kind.
    List(usize, &'static FieldKind),
}

/// One field of the operator file.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The section and the name, separated by a dot.
    pub path: &'static str,
    pub kind: FieldKind,
    /// The unit of a number. Empty if it has none.
    pub unit: &'static str,
    /// The value in JSON that applies if none is given. Without a default, the field is required if its
    /// section is given.
    pub default: Option<&'static str>,
    /// The explanation on the page of fields.
    pub description: &'static str,
}

const fn field(path: &'static str, kind: FieldKind, unit: &'static str, description: &'static str) -> Field {
    Field { path, kind, unit, default: None, description }
}

impl Field {
    const fn with_default(self, default: &'static str) -> Self {
        Self { default: Some(default), ..self }
    }

    pub fn section(&self) -> &'static str {
        self.path.split_once('.').map_or("", |(section, _)| section)
    }

    pub fn name(&self) -> &'static str {
        self.path.split_once('.').map_or(self.path, |(_, name)| name)
    }
}

const ADDRESS: FieldKind = FieldKind::Address;
const KEY: FieldKind = FieldKind::Text(64);

/// Every field that an operator file may hold.
pub const FIELDS: &[Field] = &[
    field("log.format", FieldKind::Choice(&["text", "json"]), "", "Lines for people, or one JSON object a line.")
        .with_default("\"text\""),
    field("log.level", FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]), "",
        "The least grave lines that are written; `RUST_LOG` goes before it.").with_default("\"info\""),
    field("gossip.cluster", FieldKind::Text(64), "",
        "The name that all instances of one cluster share; messages of others are refused."),
    field("gossip.listen", ADDRESS, "", "Where this instance receives datagrams (UDP)."),
    field("gossip.advertise", ADDRESS, "",
        "Where others send to this instance, if that is not `listen`. Told to all members, signed.")
        .with_default("null"),
    field("gossip.seeds", FieldKind::List(32, &ADDRESS), "",
        "Instances that are asked first, and again while few members are known. Own addresses may be among them.")
        .with_default("[]"),
    field("gossip.key", FieldKind::File, "", "This instance's secret key, readable by its owner alone (mode 0600)."),
    field("gossip.pass", FieldKind::File, "", "The operator's word that this key belongs to the cluster."),
    field("gossip.operator_keys", FieldKind::List(4, &KEY), "",
        "Public keys whose passes are believed, 64 hex digits each; two while the operator's key is changed."),
    field("gossip.revoked", FieldKind::File, "",
        "Keys that no longer belong, as signed by the operator; members tell them on.").with_default("null"),
    field("gossip.order", FieldKind::File, "",
        "Who votes on what all routers follow, as signed by the operator (`woadhook key order`); members tell it on.")
        .with_default("null"),
    field("gossip.period_ms", FieldKind::Integer(50, 10_000), "milliseconds",
        "Between two pings of members. Words reach all within a few periods.").with_default("200"),
    field("gossip.sends_per_s", FieldKind::Integer(5, 1_000), "datagrams a second",
        "The most that this instance sends, of 1,200 bytes at most each.").with_default("40"),
    field("gossip.checks_per_s", FieldKind::Integer(20, 10_000), "signatures a second",
        "The most that this instance checks; what comes beyond is dropped unread.").with_default("400"),
    field("gossip.members", FieldKind::Integer(2, 16_384), "members",
        "The most that are remembered, at about half a KB each.").with_default("4096"),
    field("gossip.clock_tolerance_ms", FieldKind::Integer(100, 60_000), "milliseconds",
        "By how much clocks of instances may differ.").with_default("5000"),
    field("gossip.word_lifetime_ms", FieldKind::Integer(500, 60_000), "milliseconds",
        "How long a word on an engine counts, fading all the while.").with_default("10000"),
    field("gossip.forget_s", FieldKind::Integer(10, 86_400), "seconds",
        "How long a member that is gone or has left is remembered.").with_default("600"),
    field("pace.client_sends_bytes_per_s", FieldKind::Integer(1, 1_000_000), "bytes a second",
        "The slowest that a client may send a message that it has begun.").with_default("1000"),
    field("pace.client_takes_bytes_per_s", FieldKind::Integer(1, 10_000_000), "bytes a second",
        "The slowest that a client may take its answers.").with_default("16000"),
    field("pace.client_grace_ms", FieldKind::Integer(100, 60_000), "milliseconds",
        "How long a client may pause, or be slower from the start.").with_default("2000"),
    field("pace.engine_bytes_per_s", FieldKind::Integer(1, 10_000_000), "bytes a second",
        "The slowest that an engine may send a page before it is asked for again on a new connection.")
        .with_default("16000"),
    field("pace.engine_rate_percent", FieldKind::Integer(1, 100), "percent",
        "The same, as a part of the rate of the engine in the middle; the lower of both counts.")
        .with_default("10"),
    field("pace.engine_grace_ms", FieldKind::Integer(50, 10_000), "milliseconds",
        "How long an engine may pause within a page.").with_default("500"),
    field("pace.turn_bytes", FieldKind::Integer(1_024, 1_048_576), "bytes",
        "What one connection may read or write before the others have a turn.").with_default("16384"),
    field("accord.period_ms", FieldKind::Integer(50, 10_000), "milliseconds",
        "Between two words of a voter to the others. Four without one, and it counts as gone.")
        .with_default("200"),
    field("accord.lease_ms", FieldKind::Integer(1_000, 120_000), "milliseconds",
        "How long a voter's word that a state is the latest counts; more than twice the tolerance.")
        .with_default("8000"),
    field("accord.clock_tolerance_ms", FieldKind::Integer(10, 30_000), "milliseconds",
        "By how much clocks of routers may differ. Decisions lie a lease and two of these apart.")
        .with_default("2000"),
];

/// The sections in the order of the table, each with its purpose.
pub const SECTIONS: &[(&str, &str)] = &[
    ("log", "How log lines are written."),
    (
        "pace",
        "What is too slow, and what one peer may do at a time. Room in memory is shared by rules without settings.",
    ),
    ("accord", "What a few voters agree on and all follow, where `gossip.order` names voters."),
    ("gossip", "Talk among instances. Without this section there is none: no socket is opened, no key read."),
];
