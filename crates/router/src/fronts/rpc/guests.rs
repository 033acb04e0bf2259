//! Who is connected, and which connection goes where a new one needs its place.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::Event;
use woadhook::Moment;

/// The connections that are taken in; each is emptied from it as it ends.
#[derive(Clone, Default)]
pub struct Guests(Rc<RefCell<BTreeMap<u64, Rc<Guest>>>>);

/// One connection, as far as the choice of the one to close goes.
pub struct Guest {
    /// Since when nothing passed on it.
    pub quiet_since: Cell<Moment>,
    /// How many of its requests are open.
    pub open: Cell<usize>,
    told_to_leave: Cell<bool>,
    leave: Event,
}

impl Guest {
    pub async fn sent_off(&self) {
        while !self.told_to_leave.get() {
            self.leave.listen().await;
        }
    }
}

/// A guest's place in the list.
pub struct Stay {
    pub guest: Rc<Guest>,
    guests: Guests,
    client: u64,
}

impl Drop for Stay {
    fn drop(&mut self) {
        self.guests.0.borrow_mut().remove(&self.client);
    }
}

impl Guests {
    pub fn enter(&self, client: u64, now: Moment) -> Stay {
        let guest = Rc::new(Guest {
            quiet_since: Cell::new(now),
            open: Cell::new(0),
            told_to_leave: Cell::new(false),
            leave: Event::new(),
        });
        self.0.borrow_mut().insert(client, guest.clone());
        Stay { guest, guests: self.clone(), client }
    }

    /// Threat: connections held for good, or opened by hundreds, would keep usual clients out. The longest
    /// quiet one without an open request goes, which a client opens anew at worst.
    pub fn send_off_one(&self) {
        let guests = self.0.borrow();
        let quiet = guests.values().filter(|guest| guest.open.get() == 0 && !guest.told_to_leave.get());
        if let Some(guest) = quiet.min_by_key(|guest| guest.quiet_since.get()) {
            guest.told_to_leave.set(true);
            guest.leave.notify(1);
        }
    }
}
