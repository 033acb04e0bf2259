//! The one door for what clients ask: each field of a request is checked here, once, by its form in the
//! protocol and the range that the settings give it. What comes out can't harm what it is handed to.

use woadhook::{GroupId, Span, TypeId};

use crate::frontends::rpc::codec::{self, Malformed, Result};
use crate::statement::table_group;

/// The digits of an id.
const ID_DIGITS: usize = 16;
/// A name of a tenant or a key.
const NAME_BYTES: usize = 64;

/// What the settings allow.
pub struct RequestLimits {
    /// The reservation types with their job timeouts.
    pub types: Vec<(String, Span)>,
    /// Of the largest kind of engine: cores, and memory in megabytes.
    pub max_cores: f64,
    pub max_memory_mb: f64,
}

/// A request whose fields can be used.
pub struct Request<'a> {
    pub id: &'a str,
    pub kind: TypeId,
    pub wait: Span,
    /// Nothing where the deployment gives no estimates.
    pub told: Option<Span>,
    pub memory: f64,
    pub tenant: Option<&'a str>,
    pub key: Option<&'a str>,
    /// What engines know repeats of a keyed job by, where the client gives it.
    pub once: Option<&'a str>,
    pub text: &'a str,
    pub group: GroupId,
}

impl RequestLimits {
    /// Reads the parameters of a request, which `message` holds and nothing else.
    pub fn request<'a>(&self, method: &str, message: &mut &'a [u8]) -> Result<Request<'a>> {
        let place = self.types.iter().position(|(name, _)| name == method).ok_or(Malformed)?;
        let timeout = self.types[place].1;
        let names = ["id", "wait", "cost", "ram", "retry", "tenant", "key", "once"];
        let mut values = [None; 8];
        let mut twice = false;
        let body = codec::parameters(message, |name, value| {
            if let Some(place) = names.iter().position(|known| *known == name) {
                twice |= values[place].replace(value).is_some();
            }
        })?;
        let [id, wait, cost, ram, retry, tenant, key, once] = values;
        let id = id.filter(|id| id.len() == ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit()));
        let wait = wait.filter(|wait| !wait.contains('.')).ok_or(Malformed)?;
        // No engine could do more than that in the longest time, all of its cores at work. The type's own time is no bound:
        // a job that can't be done in it is to be told so, not that it is malformed.
        let most =
            self.types.iter().map(|(_, timeout)| *timeout).max().unwrap_or(timeout).mul_f64(self.max_cores);
        let text = str::from_utf8(body).map_err(|_| Malformed)?;
        // It may go on as a field of a head.
        let plain = |name: &str| name.trim() == name && name.bytes().all(|byte| (0x20..0x7f).contains(&byte));
        let name = |name: &&str| (1..=NAME_BYTES).contains(&name.len()) && plain(name);
        let sound = !twice
            && message.is_empty()
            && !text.trim().is_empty()
            && retry.is_none_or(|mark| mark == "1")
            && [tenant, key, once].iter().flatten().all(name);
        if !sound {
            return Err(Malformed);
        }
        let millis = |value: f64| Span::from_secs(value / 1e3);
        let within = |span: Span, most: Span| (span <= most).then_some(span).ok_or(Malformed);
        Ok(Request {
            id: id.ok_or(Malformed)?,
            kind: TypeId(place),
            wait: within(millis(amount(wait)?), timeout)?,
            told: cost
                .map(|cost| within(millis(amount(cost)?), most))
                .transpose()?
                .filter(|told| *told > Span::ZERO),
            memory: ram
                .map_or(Ok(0.0), amount)
                .ok()
                .filter(|ram| *ram <= self.max_memory_mb)
                .ok_or(Malformed)?,
            tenant,
            key,
            once,
            text,
            group: GroupId(table_group(text).unwrap_or(0)),
        })
    }
}

/// A number in plain digits, with a point at most: no sign, exponent or word.
pub fn amount(digits: &str) -> Result<f64> {
    let plain = digits.len() <= 32 && digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    digits.parse().ok().filter(|_| plain).ok_or(Malformed)
}
