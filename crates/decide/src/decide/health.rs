//! Health: what outcomes indicate about servers and about the load of the fleet.

use super::*;

/// Least and greatest weight of a sample in a server's averages; it rises with the pause before, up to this
/// many mean latencies. Few samples must suffice where a gateway seldom uses a server.
const SERVER_GAIN: f64 = 0.1;
const SPARSE_GAIN: f64 = 0.4;
const GAIN_MEANS: f64 = 40.0;
/// Silent: since the server last responded its attempts have waited this many expected latencies in sum and
/// the oldest this many. One long request alone does not mean silence.
const SILENT_SUM: f64 = 12.0;
const SILENT_ONE: f64 = 4.0;
/// A server this many times slower than the median is ejected. If all are slow together, none is.
const SLOW_FACTOR: f64 = 2.5;
/// At most this fraction of the fleet is ejected: the rest could not carry more.
const MAX_EJECTED: f64 = 0.4;
/// First and longest pause before a test of an ejected server, in mean latencies.
const TEST_PAUSE: f64 = 5.0;
const MAX_TEST_PAUSE: f64 = 40.0;
/// Limit on attempts in flight at a server: minimum, congestion that raises or lowers it, lowering factor.
const MIN_LIMIT: f64 = 1.0;
const RAISE_BELOW: f64 = 1.1;
const LOWER_ABOVE: f64 = 1.45;
const LOWER_FACTOR: f64 = 0.85;
/// Growth of a class's lowest latency per response: a first guess that was too low must not last.
const LOWEST_GROWTH: f64 = 1.0003;
/// A response after this fraction of the target latency is late. Like a full queue, it indicates overload.
const LATE_AT: f64 = 0.4;
/// Factor on admission for one twice as late, the most lateness that counts (work varies, so a little means
/// nothing), and the increase for a quick response.
const SHED_FACTOR: f64 = 0.75;
const MAX_LATENESS: f64 = 1.5;
const ADMIT_STEP: f64 = 0.05;
/// After a pause a quick response counts this many times more for each target latency that passed.
const PAUSE_FACTOR: f64 = 3.0;
/// Weight of each quick response in a row towards trust while requests are still shed: distrust and shedding
/// at the same time left servers idle.
const QUICK_WEIGHT: f64 = 0.5;

impl Limiter {
    /// Ejects servers that hang, fail or are slow while the others are not.
    pub(super) fn eject_outliers(&mut self) {
        let (now, mean) = (self.now, self.mean_latency());
        let up = || self.servers.values().filter(|server| server.up);
        self.unreachable = up().filter(|server| server.unreachable).count() as f64;
        // Only servers with samples: a gateway among hundreds uses few, and the rest would count as normal.
        let sampled = up().filter(|server| server.samples > 0);
        let mut slowness: Vec<f64> = sampled.map(|server| server.slowness).collect();
        slowness.sort_by(f64::total_cmp);
        let median = slowness.get(slowness.len() / 2).copied().unwrap_or(1.0);
        let most = (slowness.len() as f64 * MAX_EJECTED).ceil() as usize;
        let mut ejected = up().filter(|server| server.ejected() && !server.unreachable).count();
        for (id, server) in self.servers.iter_mut().filter(|(_, server)| server.up && !server.ejected()) {
            let normal = mean * server.slowness.clamp(1.0, SLOW_FACTOR);
            let silent = server.total_wait > SILENT_SUM * normal && server.silence(now) > SILENT_ONE * normal;
            let outlier = silent || server.samples >= 5 && server.slowness >= SLOW_FACTOR * median;
            if !outlier || ejected >= most {
                continue;
            }
            ejected += 1;
            (server.ejection_ms, server.ejected_until) = (TEST_PAUSE * mean, now + TEST_PAUSE * mean);
            let reason = if silent { "silent" } else { "slow or failing" };
            self.actions.push(Action::Log(format!("server {id} set aside: {reason}")));
        }
    }

    /// Updates averages, admission and the server's limit after an attempt.
    pub(super) fn record_outcome(&mut self, outcome: &Outcome) {
        let (now, mean, status) = (self.now, self.mean_latency(), outcome.status);
        let Some(request) = self.requests.get(&outcome.id) else { return };
        let Some(server) = self.servers.get_mut(&outcome.server) else { return };
        if !request.attempts.get(outcome.attempt).is_some_and(|attempt| attempt.open) {
            return;
        }
        let (size, class) = (request.size, &mut self.latency[request.class]);
        let expected = class.mean * size;
        server.in_flight = (server.in_flight - 1.0).max(0.0);
        if status == Status::ConnectError {
            return self.mark_unreachable(&outcome.server);
        }
        if status == Status::Unreadable {
            // Responses of any server may be damaged on the way: this one is alive, and no worse than others.
            server.heard_at = now;
            return;
        }
        let failed = matches!(status, Status::Failed | Status::Reset | Status::QueueFull);
        let responded = failed || status == Status::Ok;
        server.heard_at = if responded { now } else { server.heard_at };
        let quick = status == Status::Ok && outcome.latency_ms < SLOW_FACTOR * expected;
        let recovered = quick || server.unreachable && responded;
        // A timed-out attempt took at least this long: a server that never responds must not count as normal.
        let slower = status == Status::TimedOut && outcome.latency_ms > server.slowness * expected;
        if responded || slower {
            // A failure counts as the longest latency: a server that rejects all must not be the cheapest.
            let most = 2.0 * SLOW_FACTOR;
            let ratio = if failed { most } else { (outcome.latency_ms / expected).min(most) };
            let gain = ((now - server.sampled_at) / (GAIN_MEANS * mean)).clamp(SERVER_GAIN, SPARSE_GAIN);
            server.slowness += gain * (ratio - server.slowness);
            server.sampled_at = now;
            server.samples += 1;
            if !server.ejected() && status == Status::Ok {
                class.add(outcome.latency_ms / size, CLASS_GAIN);
                self.mean_size.add(size, CLASS_GAIN);
            }
        }
        let target = self.settings.classes[request.class].target_latency_ms;
        let lateness = outcome.latency_ms / (LATE_AT * target * size / self.mean_size.mean);
        let full = status == Status::QueueFull;
        if full || !server.ejected() && lateness > 1.0 && !failed {
            let excess = if full { 1.0 } else { (lateness - 1.0).min(MAX_LATENESS) };
            self.admission = (self.admission * SHED_FACTOR.powf(self.others_share * excess)).max(MIN_PROB);
            self.quick_answers = 0.0;
        } else if status == Status::Ok {
            self.quick_answers += QUICK_WEIGHT;
            // While much is shed responses are few: each counts for more, or the fleet would be idle.
            let pause = PAUSE_FACTOR * (now - self.answered_at) / target;
            self.admission = (self.admission + ADMIT_STEP * pause.max(1.0) * (1.0 - lateness)).min(1.0);
        }
        self.answered_at = now;
        if matches!(status, Status::Ok | Status::TimedOut) {
            let lowest = &mut self.lowest_latency[request.class];
            *lowest = (*lowest * LOWEST_GROWTH).min(class.mean);
            let ratio = outcome.latency_ms / (*lowest * size);
            server.congestion += SERVER_GAIN * (ratio.min(10.0) - server.congestion);
        }
        if server.congestion > LOWER_ABOVE || full {
            server.limit = (server.limit * LOWER_FACTOR).max(MIN_LIMIT);
        } else if server.congestion < RAISE_BELOW && server.in_flight + 2.0 > server.limit {
            server.limit += 1.0 / server.limit;
        }
        if server.ejected() && recovered {
            (server.ejection_ms, server.unreachable, server.samples, server.slowness) = (0.0, false, 0, 1.0);
            self.actions.push(Action::Log(format!("server {} back", outcome.server)));
        } else if server.ejected() && server.in_flight == 0.0 {
            server.ejection_ms = (server.ejection_ms * 2.0).min(MAX_TEST_PAUSE * mean);
            server.ejected_until = now + server.ejection_ms;
        }
    }

    /// Ejects a server after a failed connection. The cause is not load but this gateway's own path (a link
    /// or firewall rule, a full connection table) or a server that is gone: one failure is conclusive, and
    /// other gateways may not see it. So it is ejected at once, however many are, without effect on
    /// admission, and the next candidate takes its place. Risk: a path that loses a few connections halves
    /// the choice for nothing, and servers that all gateways reach get the work: shedding must protect them.
    fn mark_unreachable(&mut self, id: &ServerId) {
        let (now, mean) = (self.now, self.mean_latency());
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.ejection_ms, server.ejected_until) = (MAX_TEST_PAUSE * mean, now + MAX_TEST_PAUSE * mean);
        self.unreachable += if server.unreachable { 0.0 } else { 1.0 };
        let count = self.unreachable;
        if !std::mem::replace(&mut server.unreachable, true) && (count as usize).is_power_of_two() {
            self.actions.push(Action::Log(format!("no connection to {count} servers, the last one {id}")));
        }
    }
}
