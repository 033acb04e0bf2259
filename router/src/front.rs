//! An actor a client connection: it reads requests, and writes answers in the order in which they come.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::{AsyncReadExt, FutureExt};
use woadhook::{Moment, Span};

use crate::clock::Clock;
use crate::codec::{self, Answer, Malformed, Scan};
use crate::decide::Event;
use crate::memory::Room;
use crate::query::Statement;
use crate::sockets::{Link, limited, write_gathered};
use crate::statement::table_group;
use crate::tasks::Tasks;

/// The most open requests of a connection, and pings beside them.
const OPEN: usize = 32 + 8;
/// With all of the clients' descriptors in use, such buffers and the rooms for statements and results stay within
/// the memory of the smallest router.
const MESSAGE_BYTES: usize = 128 * 1024;
const READ_BYTES: usize = 16 * 1024;
/// The error for what can't be taken, whatever is wrong with it.
pub const MALFORMED: &str = "Malformed";

/// What all connections of clients are given alike.
#[derive(Clone)]
pub struct Hall {
    pub clock: Clock,
    pub tasks: Tasks,
    pub module: Sender<Event>,
    /// For statements.
    pub room: Room,
    /// A client that takes nothing for so long has given up all it asked for.
    pub longest_wait: Span,
    /// How many answers are owed on all connections.
    pub owing: Rc<Cell<usize>>,
}

/// The right to answer one request, once. Dropped unused, no answer is owed any more.
pub struct Reply {
    number: u32,
    outbox: Sender<(u32, Answer, Owed)>,
    owed: Owed,
}

/// A place among the open requests of a connection, and one of the answers that the router owes; kept until
/// the answer is written.
struct Owed {
    _place: SemaphoreGuardArc,
    owing: Rc<Cell<usize>>,
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.owing.set(self.owing.get() - 1);
    }
}

impl Reply {
    /// The id that the client gave its request.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// The outbox has a place for each reply; where the connection is gone, nobody is answered.
    pub fn send(self, answer: Answer) {
        let _ = self.outbox.try_send((self.number, answer, self.owed));
    }
}

/// Serves one connection until either side ends it, then withdraws its jobs.
pub async fn serve(link: Link, client: u64, hall: Hall) {
    let _leave = Leave { client, module: hall.module.clone(), tasks: hall.tasks };
    let (outbox, answers) = async_channel::bounded(OPEN);
    let reader = Reader { client, places: Arc::new(Semaphore::new(OPEN)), outbox, hall: hall.clone() };
    let end = reader.read(&link).or(write(&link, answers, hall.longest_wait)).await;
    if let Err(error) = end {
        log::debug!("client {client}: {error}");
    }
}

/// Tells the module when a connection ends, however it does.
struct Leave {
    client: u64,
    module: Sender<Event>,
    tasks: Tasks,
}

impl Drop for Leave {
    fn drop(&mut self) {
        let (module, client) = (self.module.clone(), self.client);
        self.tasks.start(async move {
            let _ = module.send(Event::ClientGone { client }).await;
        });
    }
}

async fn write(link: &Link, answers: Receiver<(u32, Answer, Owed)>, patience: Span) -> io::Result<()> {
    let (mut head, mut tail) = (Vec::new(), Vec::new());
    while let Ok((number, answer, _owed)) = answers.recv().await {
        head.clear();
        tail.clear();
        codec::write(number, &answer, &mut head, &mut tail)?;
        let pages = if let Answer::Served(rows) = &answer { rows.pages.as_slice() } else { &[] };
        let mut parts = Vec::with_capacity(pages.len() + 2);
        parts.push(head.as_slice());
        parts.extend(pages.iter().map(Vec::as_slice));
        parts.push(&tail);
        limited(patience, write_gathered(&link.stream, &parts, || ())).await?;
    }
    Ok(())
}

struct Reader {
    client: u64,
    places: Arc<Semaphore>,
    outbox: Sender<(u32, Answer, Owed)>,
    hall: Hall,
}

impl Reader {
    async fn read(&self, link: &Link) -> io::Result<()> {
        let malformed = |_: Malformed| io::Error::from(io::ErrorKind::InvalidData);
        let (mut buffer, mut filled) = (vec![0; READ_BYTES], 0);
        // The rest of a message too long to be held.
        let mut passing: Option<Scan> = None;
        loop {
            let mut start = 0;
            if let Some(scan) = &mut passing {
                start = scan.pass(&buffer[..filled]).map_err(malformed)?;
                passing = passing.filter(|scan| !scan.is_done());
            }
            while passing.is_none()
                && let Some(length) = codec::whole(&buffer[start..filled]).map_err(malformed)?
            {
                self.take(&buffer[start..start + length]).await.map_err(malformed)?;
                start += length;
            }
            buffer.copy_within(start..filled, 0);
            filled -= start;
            if filled >= MESSAGE_BYTES {
                self.refuse(&buffer).await.map_err(malformed)?;
                passing = Some(Scan::default());
                continue;
            }
            if filled == buffer.len() {
                buffer.resize(filled * 2, 0);
            } else if filled == 0 && buffer.len() > READ_BYTES {
                buffer = vec![0; READ_BYTES];
            }
            match limited(self.hall.longest_wait, (&link.stream).read(&mut buffer[filled..])).await {
                Ok(0) => return Ok(()),
                Ok(count) => filled += count,
                // Threat: clients that vanish, idle or stall in a message would keep their descriptors. None
                // that awaits an answer is closed.
                Err(error) if error.kind() == io::ErrorKind::TimedOut && self.owes() => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Answers a request that is too long, where its start tells the number.
    async fn refuse(&self, mut message: &[u8]) -> codec::Result<()> {
        let message = &mut message;
        if (codec::array(message)?, codec::number(message)?) == (4, codec::REQUEST) {
            self.reply(codec::number(message)?).await.send(Answer::Failed(MALFORMED));
        }
        Ok(())
    }

    /// Each place taken holds on to the semaphore.
    fn owes(&self) -> bool {
        Arc::strong_count(&self.places) > 1
    }

    /// Takes in one whole message.
    async fn take(&self, mut message: &[u8]) -> codec::Result<()> {
        let (arrived, message) = (self.hall.clock.now(), &mut message);
        let parts = codec::array(message)?;
        match (codec::number(message)?, parts) {
            (codec::REQUEST, 4) => {
                let reply = self.reply(codec::number(message)?).await;
                match codec::text(message) {
                    Ok("ping") => {
                        let _ = self.hall.module.send(Event::Ping { reply }).await;
                    }
                    Ok(method) => self.request(arrived, reply, method, message).await,
                    Err(Malformed) => reply.send(Answer::Failed(MALFORMED)),
                }
                Ok(())
            }
            (codec::NOTICE, 3) => {
                if codec::text(message)? == "abort" && codec::array(message)? > 0 {
                    let number = codec::number(message)?;
                    let _ = self.hall.module.send(Event::Withdrawn { client: self.client, number }).await;
                }
                Ok(())
            }
            _ => Err(Malformed),
        }
    }

    /// Waits where too many answers are open: such a client is held back.
    async fn reply(&self, number: u32) -> Reply {
        let (place, owing) = (self.places.acquire_arc().await, self.hall.owing.clone());
        owing.set(owing.get() + 1);
        let owed = Owed { _place: place, owing };
        Reply { number, outbox: self.outbox.clone(), owed }
    }

    /// A request with a number is answered in any case, if only with an error.
    async fn request(&self, arrived: Moment, reply: Reply, method: &str, message: &mut &[u8]) {
        let (mut id, mut wait, mut cost, mut ram, mut tenant, mut key) = ("", None, None, 0.0, None, None);
        let mut sound = true;
        let mut amount = |value: &str| {
            let amount = value.parse::<f64>().ok().filter(|amount| amount.is_finite() && *amount >= 0.0);
            sound &= amount.is_some();
            amount
        };
        let body = codec::parameters(message, |name, value| match name {
            "id" => id = value,
            "wait" => wait = amount(value),
            "cost" => cost = amount(value),
            "ram" => ram = amount(value).unwrap_or(0.0),
            "tenant" => tenant = Some(value.to_owned()),
            "key" => key = Some(value.to_owned()),
            _ => {}
        });
        // The id goes on in paths and heads.
        sound &= (1..=64).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_alphanumeric());
        let (true, Ok(body), Some(wait)) = (sound, body, wait) else {
            return reply.send(Answer::Failed(MALFORMED));
        };
        let group = table_group(&String::from_utf8_lossy(body)).unwrap_or(0);
        let held = self.hall.room.take(body.len()).await;
        let statement = Statement { id: id.into(), class: method.into(), text: body.into(), _held: held };
        let arrival = Event::Arrived {
            client: self.client,
            statement: Rc::new(statement),
            group,
            tenant,
            key,
            told: cost.map(|cost| Span::from_secs(cost / 1e3)),
            memory: ram,
            deadline: arrived + Span::from_secs(wait / 1e3),
            reply,
        };
        let _ = self.hall.module.send(arrival).await;
    }
}
