//! Configurations of the sites, in the form of the pages.

use std::net::SocketAddr;

/// An sql engine of the list.
pub struct Member {
    pub address: SocketAddr,
    pub zone: &'static str,
}

impl Member {
    /// Its line of the list. `up_since_ms` is the Unix time of a late start, or 0.
    pub fn line(&self, index: usize, kind: &str, phase: &str, up_since_ms: u128) -> String {
        let Self { address, zone } = self;
        format!(
            r#"{{"id":"s-{index:08}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","cell":{},"phase":"{phase}","size":4,"up_since_ms":{up_since_ms}}}"#,
            index / 3
        )
    }
}

pub fn config(listen: SocketAddr, settings: &str, members: &[Member], bulletin: SocketAddr) -> String {
    let kind = settings.split("\"kinds\":[\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap();
    let lines: Vec<String> =
        members.iter().enumerate().map(|(index, member)| member.line(index, kind, "SERVING", 0)).collect();
    let known = format!(
        r#"{{"no":1,"items":[{{"no":1,"roster":{{"revision":1,"complete":true,"members":[{}]}}}}]}}"#,
        lines.join(",")
    );
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"bulletin":"{bulletin}","known":{known},"settings":{settings}}}"#
    )
}

/// `ljubljana-arhiv` at its first size.
pub const LJUBLJANA: &str = r#"{
"replicasOfMe":3,"myNumber":0,"zone":"hala-a","zones":["hala-a","hala-b"],"kinds":["osem-jeder"],"tenants":[],
"stage":0,"stages":["poizvedbe"],"family":"queries","discovery":"pushed","weightKind":"nominal","worthBy":"request",
"overShareWorth":0.1,"tickUs":5000,"clients":{"marksRetry":true},
"blend":{"whole":0.45,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.35},
"classes":[
{"name":"pregled","effect":"repeatable","deadlineUs":4000000,"goalTimeUs":750000,"aimStretch":1.5,"gain":1.0,"lateWorth":0.1,"dedupScope":"all","windowUs":5000000,"streamed":false},
{"name":"porocilo","effect":"repeatable","deadlineUs":20000000,"goalTimeUs":1500000,"aimStretch":2.5,"gain":6.0,"lateWorth":0.4,"dedupScope":"all","windowUs":5000000,"streamed":false},
{"name":"nalaganje","effect":"once","deadlineUs":20000000,"goalTimeUs":4000000,"aimStretch":2.5,"gain":12.0,"lateWorth":0.5,"dedupScope":"all","windowUs":5000000,"streamed":false}],
"familyInfo":{"coresByKind":[8],"costInAnswers":true,"isLoad":[false,false,true],"maxGrantShare":0.4,"notePeriodUs":1000000,"overbooked":"overcommit","ramOfKindMb":[16384.0],"takesGrants":false,"takesPriority":true,"waitsForLoads":[true,true,false],"widthByClass":[1,4,2]},
"feedback":{"how":"probe","names":["waiting","cpu"]},
"limits":{"cancelling":true,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":100000,"idleCloseUs":15000000,"maxRetryAfterUs":2000000,"mayProbe":true,"mostHeld":20000,"peerMessages":false,"retryAfter":true,"secondCopies":false,"streamsPerConn":32,"tryLimit":5},
"obligations":{"answerSlackUs":20000,"askWithinUs":10000000,"coldUs":15000000,"fallUs":2000000,"overloadFactor":2.0,"startCapacity":0.32,"stopSendingWithinUs":1000000},
"prices":{"connection":0.0,"crossZone":0.044,"discovery":0.0,"handshake":0.0,"lateFail":0.037,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.08}}"#;

/// `bangna-quotes` at its first size.
pub const BANGNA: &str = r#"{
"replicasOfMe":2,"myNumber":0,"zone":"hall-a","zones":["hall-a","hall-b"],"kinds":["std-8"],
"tenants":[{"name":"siamcover","allowancePerS":40},{"name":"napa-travel","allowancePerS":33},{"name":"ruamsuk","allowancePerS":16}],
"stage":0,"stages":["quote-engines"],"family":"queries","discovery":"pushed","weightKind":"nominal","worthBy":"request",
"overShareWorth":0.1,"tickUs":5000,"clients":{"marksRetry":false},
"blend":{"whole":0.5,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.2},
"classes":[
{"name":"quote","effect":"repeatable","deadlineUs":5000000,"goalTimeUs":1000000,"aimStretch":1.5,"gain":1.0,"lateWorth":0.0,"dedupScope":"all","windowUs":5000000,"streamed":false},
{"name":"report","effect":"repeatable","deadlineUs":20000000,"goalTimeUs":2000000,"aimStretch":2.5,"gain":10.0,"lateWorth":0.3,"dedupScope":"all","windowUs":5000000,"streamed":false},
{"name":"rate-load","effect":"once","keepOrder":true,"deadlineUs":25000000,"goalTimeUs":4000000,"aimStretch":3.0,"gain":8.0,"lateWorth":0.5,"dedupScope":"all","windowUs":5000000,"streamed":false}],
"familyInfo":{"coresByKind":[8],"costInAnswers":false,"isLoad":[false,false,true],"maxGrantShare":0.4,"notePeriodUs":500000,"overbooked":"line_up","ramOfKindMb":[16384.0],"takesGrants":true,"takesPriority":true,"waitsForLoads":[true,true,false],"widthByClass":[1,2,2]},
"feedback":{"how":"probe","names":["waiting"]},
"limits":{"cancelling":false,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"idleCloseUs":30000000,"maxRetryAfterUs":2000000,"mayProbe":true,"mostHeld":20000,"peerMessages":false,"retryAfter":true,"secondCopies":true,"streamsPerConn":100,"tryLimit":6},
"obligations":{"answerSlackUs":20000,"askWithinUs":10000000,"coldUs":13000000,"fallUs":2000000,"overloadFactor":2.0,"startCapacity":0.31,"stopSendingWithinUs":500000,"turnGapUs":0},
"prices":{"connection":0.0,"crossZone":0.045,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.013,"waste":0.078}}"#;
