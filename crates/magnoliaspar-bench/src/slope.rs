//! Measures the control cost of a request as pool and queue grow.

use std::fmt::Write;
use std::time::{Duration, Instant};

use crate::saturated_pool::SaturatedPool;

/// The control time per request that is available at the size the system is designed for.
pub const DECISION_BUDGET: Duration = Duration::from_micros(217);

/// The numbers of servers for which the cost is measured.
pub const SERVER_COUNTS: [usize; 5] = [4, 16, 64, 256, 1_000];

/// The numbers of waiting jobs for which the cost is measured.
pub const WAITING_COUNTS: [usize; 5] = [10, 100, 1_000, 10_000, 100_000];

/// Number of cycles per time measurement.
const BATCH_CYCLES: u32 = 20;

/// Maximum number of time measurements per row of the table.
const MAX_BATCHES: usize = 100;

/// Maximum time spent on one row of the table.
const MAX_ROW_TIME: Duration = Duration::from_millis(400);

/// Measures the control cost of one request as pool and queue grow, as a table in Markdown.
///
/// The column of starts per request shows that the measured requests do reach decoding.
pub fn slopes() -> String {
    let mut text = String::from(
        "| servers | waiting | µs per request | of the budget | starts per request |\n",
    );
    text.push_str("|---|---|---|---|---|\n");
    let mut waiting_points = Vec::new();
    let mut server_points = Vec::new();
    for servers in SERVER_COUNTS {
        for waiting in WAITING_COUNTS {
            let (cost, starts) = measure_cost(servers, waiting);
            let share = cost.div_duration_f64(DECISION_BUDGET);
            let micros = cost.as_secs_f64() * 1e6;
            let _ = write!(text, "| {servers} | {waiting} | {micros:.1} | {share:.2} |");
            let _ = writeln!(text, " {starts:.2} |");
            if servers == SERVER_COUNTS[0] {
                waiting_points.push((waiting, cost));
            }
            if waiting == WAITING_COUNTS[2] {
                server_points.push((servers, cost));
            }
        }
    }
    let by_waiting = least_squares_slope(&waiting_points);
    let by_servers = least_squares_slope(&server_points);
    let _ = writeln!(text, "\nSlope for each server: {by_servers:.4} µs.");
    let _ = writeln!(text, "Slope for each waiting job: {by_waiting:.6} µs.");
    text
}

/// Returns the median cost of one request and the mean number of requests that start to decode per
/// submitted request.
fn measure_cost(servers: usize, waiting: usize) -> (Duration, f64) {
    let mut pool = SaturatedPool::new(servers, waiting);
    let mut batches = Vec::new();
    let mut starts = 0;
    let start = Instant::now();
    while batches.len() < MAX_BATCHES && start.elapsed() < MAX_ROW_TIME {
        let batch_start = Instant::now();
        for _ in 0..BATCH_CYCLES {
            starts += pool.cycle();
        }
        batches.push(batch_start.elapsed() / BATCH_CYCLES);
    }
    batches.sort();
    let cycles = batches.len() as u32 * BATCH_CYCLES;
    (batches[batches.len() / 2], starts as f64 / f64::from(cycles))
}

/// Returns the slope of the least-squares line through sizes and costs, in microseconds per unit of
/// size.
fn least_squares_slope(points: &[(usize, Duration)]) -> f64 {
    let count = points.len() as f64;
    let (mut sum_x, mut sum_y, mut sum_xx, mut sum_xy) = (0.0, 0.0, 0.0, 0.0);
    for (size, cost) in points {
        let (x, y) = (*size as f64, cost.as_secs_f64() * 1e6);
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x)
}
