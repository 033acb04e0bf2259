//! One router of the module, built from the settings, with the names that its host tells it by index.

use serde_json::Value;
use woadhook::*;

use crate::fields::*;
use crate::names::Door;

/// One router and the names that it is told by index.
pub struct Instance {
    pub router: Router,
    pub jobs: Door,
    pub keys: Door,
    pub engines: Door,
    pub types: Vec<String>,
    /// By type: whether it keeps order by key.
    ordered: Vec<bool>,
    /// By type: whether it must not run twice.
    run_once: Vec<bool>,
    /// Whether two dispatches of a job may be out at once.
    pub copies: bool,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report_names: Vec<String>,
    pub costs_told: bool,
}

/// The longest come-back time that clients heed, where they are told one.
pub fn come_back(limits: &Value) -> Result<Option<Span>> {
    mark(limits, "retryAfter").then(|| span(limits, "maxRetryAfterUs")).transpose()
}

impl Instance {
    /// A router built from the settings object, the same on every wire.
    pub fn start(now: Moment, seed: u64, info: &Value) -> Result<Self> {
        let (limits, rules, family) =
            (present(info, "limits")?, present(info, "obligations")?, present(info, "familyInfo")?);
        let (prices, feedback) = (present(info, "prices")?, present(info, "feedback")?);
        let zones = names(info, "zones")?;
        let kinds = names(info, "kinds")?;
        let classes = rows(info, "classes")?;
        let types = classes.iter().enumerate().map(|(place, class)| {
            let effect = match text(class, "effect")? {
                "repeatable" => Effect::Restartable,
                "by_key" => Effect::Keyed {
                    scope: match text(class, "dedupScope")? {
                        "all" => Scope::All,
                        "zone" => Scope::Zone,
                        "cell" => Scope::Cell,
                        other => return Err(format!("dedupScope: unknown {other}")),
                    },
                    window: span(class, "windowUs")?,
                },
                "once" => Effect::RunOnce,
                other => return Err(format!("effect: unknown {other}")),
            };
            Ok(ReservationType {
                sla: span(class, "goalTimeUs")?,
                sla_stretch: number(class, "aimStretch").unwrap_or(0.0),
                timeout: span(class, "deadlineUs")?,
                billed: number(class, "gain")?,
                late_share: number(class, "lateWorth")?,
                effect,
                ordered: mark(class, "keepOrder"),
                zones: places(class, "runsIn", &zones).map(|open| open.into_iter().map(ZoneId).collect()),
                kinds: places(class, "kindsOpen", &kinds).map(|open| open.into_iter().map(KindId).collect()),
                threads: numbers(family, "widthByClass")?.get(place).copied().unwrap_or(1.0).max(1.0),
                is_load: mark_at(family, "isLoad", place),
                waits_for_loads: mark_at(family, "waitsForLoads", place),
            })
        });
        let types = types.collect::<Result<Vec<_>>>()?;
        let tenants = rows(info, "tenants")?;
        let allowances =
            tenants.iter().map(|tenant| number(tenant, "allowancePerS")).collect::<Result<Vec<_>>>()?;
        let ration = match (number(rules, "freeResends"), number(rules, "extraRatio")) {
            (Err(_), Err(_)) => None,
            (free, share) => Some(Ration {
                free: free.unwrap_or(0.0),
                share: share.unwrap_or(0.0),
                window: span(rules, "countedOverUs")?,
            }),
        };
        let how = text(feedback, "how")?;
        let fleet = Fleet {
            zone: ZoneId(place(&zones, text(info, "zone")?, "zone")?),
            replicas: whole(info, "replicasOfMe")? as usize,
            number: whole(info, "myNumber")? as usize,
            cores: numbers(family, "coresByKind")?,
            memory: numbers(family, "ramOfKindMb")?,
            crossing_price: number(prices, "crossZone").unwrap_or(0.0),
        };
        let cold = ColdStart {
            factor: number(rules, "overloadFactor")?,
            fall: span(rules, "fallUs")?,
            start_capacity: number(rules, "startCapacity")?,
            cold_for: span(rules, "coldUs")?,
        };
        let further = Further {
            try_limit: whole(limits, "tryLimit")? as usize,
            copies: mark(limits, "secondCopies"),
            cancelling: mark(limits, "cancelling"),
            turn_gap: span(rules, "turnGapUs").unwrap_or_default(),
            ration,
        };
        let asked = text(info, "discovery")? == "on_request";
        let watching = Watching {
            may_probe: mark(limits, "mayProbe"),
            reports_by_probe: how == "probe",
            connect_timeout: span(limits, "connectTimeoutUs")?,
            note_period: span(family, "notePeriodUs").unwrap_or_default(),
            ask_within: asked.then(|| span(rules, "askWithinUs")).transpose()?,
        };
        let answers = Answers {
            slack: span(rules, "answerSlackUs")?,
            come_back: come_back(limits)?,
            by_work: text(info, "worthBy").is_ok_and(|by| by == "work"),
            over_share: number(info, "overShareWorth").unwrap_or(1.0),
            allowances,
        };
        let terms = Terms {
            grants: mark(family, "takesGrants"),
            most_grant: number(family, "maxGrantShare").unwrap_or(1.0),
        };
        let ordered = types.iter().map(|kind| kind.ordered).collect();
        let run_once = types.iter().map(|kind| kind.effect == Effect::RunOnce).collect();
        let copies = further.copies;
        let router = Router::new(now, seed, types, fleet, cold, further, watching, answers, terms);
        Ok(Self {
            router,
            jobs: Door::default(),
            keys: Door::default(),
            engines: Door::default(),
            ordered,
            run_once,
            copies,
            types: classes
                .iter()
                .map(|class| text(class, "name").map(str::to_owned))
                .collect::<Result<_>>()?,
            tenants: tenants
                .iter()
                .map(|tenant| text(tenant, "name").map(str::to_owned))
                .collect::<Result<_>>()?,
            zones,
            kinds,
            report_names: if how == "none" { Vec::new() } else { names(feedback, "names")? },
            costs_told: mark(family, "costInAnswers"),
        })
    }

    /// The index of a key, where the type keeps order; the module would never let go of another.
    pub fn key(&mut self, kind: TypeId, name: &str) -> Option<KeyId> {
        self.ordered[kind.0].then(|| KeyId(self.keys.admit(name)))
    }

    /// Whether jobs of a type must not run twice.
    pub fn is_run_once(&self, kind: TypeId) -> bool {
        self.run_once[kind.0]
    }

    /// A load report; `value` finds what it holds for a name, by its place among `report_names` or by itself.
    pub fn reported(&mut self, now: Moment, engine: EngineId, value: impl Fn(usize, &str) -> Option<f64>) {
        let value = |name| position(&self.report_names, name).and_then(|place| value(place, name));
        let (active, waiting, cpu, disks) = (value("active"), value("waiting"), value("cpu"), value("x1"));
        self.router.reported(now, engine, active, waiting, cpu, disks);
    }
}
