//! Validates client requests: each field is checked here, once, against its form in the protocol and the
//! range that the settings allow. Later code relies on these checks.

use woadhook::{GroupId, Span, TypeId};

use crate::frontends::rpc::codec::{self, Malformed, Result};
use crate::statement::table_group;

/// Length of a job id in hexadecimal digits.
const ID_DIGITS: usize = 16;
/// Maximum length of the name of a tenant or key.
const MAX_NAME_BYTES: usize = 64;

/// The values that the settings allow.
pub struct RequestLimits {
    /// The reservation types with their job timeouts.
    pub types: Vec<(String, Span)>,
    /// Cores of the largest engine kind, and memory in megabytes of the largest one.
    pub max_cores: f64,
    pub max_memory_mb: f64,
}

/// A request whose fields are valid.
pub struct Request<'a> {
    pub id: &'a str,
    pub reservation_type: TypeId,
    pub wait: Span,
    /// The client's estimate of the cost; `None` where the deployment gives no estimates.
    pub stated_work: Option<Span>,
    pub memory_mb: f64,
    pub tenant: Option<&'a str>,
    pub order_key: Option<&'a str>,
    /// The key by which engines recognize repeats of a keyed job, where the client gives one.
    pub idempotency_key: Option<&'a str>,
    pub text: &'a str,
    pub group: GroupId,
}

impl RequestLimits {
    /// Reads the parameters of a request from `message`, which must hold nothing else.
    pub fn request<'a>(&self, method: &str, message: &mut &'a [u8]) -> Result<Request<'a>> {
        let index = self.types.iter().position(|(name, _)| name == method).ok_or(Malformed)?;
        let timeout = self.types[index].1;
        let names = ["id", "wait", "cost", "ram", "retry", "tenant", "key", "once"];
        let mut values = [None; 8];
        let mut has_duplicates = false;
        let body = codec::read_parameters(message, |name, value| {
            if let Some(index) = names.iter().position(|known| *known == name) {
                has_duplicates |= values[index].replace(value).is_some();
            }
        })?;
        let [id, wait, cost, ram, retry, tenant, key, once] = values;
        let id = id.filter(|id| id.len() == ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit()));
        let wait = wait.filter(|wait| !wait.contains('.')).ok_or(Malformed)?;
        // The cost is limited by what the largest engine can do with all its cores in the longest job
        // timeout. The type's own timeout is no limit: a job that can't be done in it has to be refused as
        // such, not as malformed.
        let max_cost =
            self.types.iter().map(|(_, timeout)| *timeout).max().unwrap_or(timeout).mul_f64(self.max_cores);
        let text = str::from_utf8(body).map_err(|_| Malformed)?;
        // These names may be sent on as HTTP header fields.
        let is_plain =
            |name: &str| name.trim() == name && name.bytes().all(|byte| (0x20..0x7f).contains(&byte));
        let name = |name: &&str| (1..=MAX_NAME_BYTES).contains(&name.len()) && is_plain(name);
        let is_valid = !has_duplicates
            && message.is_empty()
            && !text.trim().is_empty()
            && retry.is_none_or(|mark| mark == "1")
            && [tenant, key, once].iter().flatten().all(name);
        if !is_valid {
            return Err(Malformed);
        }
        let millis = |value: f64| Span::from_secs(value / 1e3);
        let at_most = |span: Span, max: Span| (span <= max).then_some(span).ok_or(Malformed);
        Ok(Request {
            id: id.ok_or(Malformed)?,
            reservation_type: TypeId(index),
            wait: at_most(millis(parse_amount(wait)?), timeout)?,
            stated_work: cost
                .map(|cost| at_most(millis(parse_amount(cost)?), max_cost))
                .transpose()?
                .filter(|cost| *cost > Span::ZERO),
            memory_mb: ram
                .map_or(Ok(0.0), parse_amount)
                .ok()
                .filter(|ram| *ram <= self.max_memory_mb)
                .ok_or(Malformed)?,
            tenant,
            order_key: key,
            idempotency_key: once,
            text,
            group: GroupId(table_group(text).unwrap_or(0)),
        })
    }
}

/// Parses a number in plain digits with at most one point: no sign, no exponent, no words such as `inf`.
pub fn parse_amount(digits: &str) -> Result<f64> {
    let plain = digits.len() <= 32 && digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    digits.parse().ok().filter(|_| plain).ok_or(Malformed)
}
