//! Keeps slow or greedy peers from slowing down others: a timer wheel, minimum transfer rates, fair shares of
//! a memory budget, byte quanta for task scheduling, and a comparison of engines' transfer rates. Nothing
//! here reads a clock or a socket.

pub mod engine_rates;
pub mod min_rate;
pub mod round_robin;
pub mod shares;
pub mod timer_wheel;
