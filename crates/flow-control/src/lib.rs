//! What keeps slow and greedy peers from slowing others: deadlines in a wheel, least acceptable rates, shares of a room,
//! turns by bytes, and how engines send against one another. Nothing here reads a clock or a socket.

pub mod engine_rates;
pub mod min_rate;
pub mod round_robin;
pub mod shares;
pub mod timer_wheel;
