//! Health: what outcomes tell of servers and of the fleet.

use super::*;

/// Least and most weight of one sample in a server's average, by its age in so many mean latencies: a few
/// samples must do where a gateway sees a server seldom.
const SERVER_GAIN: f64 = 0.1;
const SPARSE_GAIN: f64 = 0.4;
const GAIN_MEANS: f64 = 40.0;
/// A server is set aside when the attempts out there have waited, since it was last heard, so many mean
/// latencies in sum and the oldest so many: one long request alone is no silence.
const SILENT_SUM: f64 = 12.0;
const SILENT_ONE: f64 = 4.0;
/// A server this much slower than the median is set aside; slower together, nobody is.
const SLOW_X: f64 = 2.5;
/// At most this part of the fleet is set aside: the rest could not carry more.
const ASIDE_PART: f64 = 0.4;
/// First and longest pause before a test of a set-aside server, in mean latencies.
const TEST_PAUSE: f64 = 5.0;
const TEST_PAUSE_MAX: f64 = 40.0;
/// Attempts out at one server: least bound, the parts of the aim that widen or narrow it, and by how much.
const LEAST_LIMIT: f64 = 1.0;
const WIDEN_BELOW: f64 = 1.1;
const NARROW_ABOVE: f64 = 1.45;
const NARROW_BY: f64 = 0.85;
/// The lowest mean latency forgets by this much an outcome: a first guess that was too low must not last.
const CALM_CREEP: f64 = 1.0003;
/// An answer later than this part of its aim, or none for lack of room, tells of a fleet driven over: what
/// one twice as late leaves of the odds of admission, how late they count at most (work varies: barely late
/// says little), and what a quick answer adds.
const LATE_AT: f64 = 0.4;
const SHED_DOWN: f64 = 0.75;
const LATE_MOST: f64 = 1.5;
const SHED_UP: f64 = 0.05;
/// A quick answer after a long time raises the odds by so many times more for each aim that passed.
const RARE_X: f64 = 3.0;
/// Weight by which each quick answer in a row parts trust from shedding: both at once kept servers idle.
const EASE: f64 = 0.5;

impl Limiter {
    /// Sets aside servers that hang, fail or are slow while the others are not.
    pub(super) fn judge_servers(&mut self) {
        let (now, mean) = (self.now, self.mean_latency());
        self.lost = self.servers.values().filter(|server| server.up && server.cut).count() as f64;
        // Only those seen: a gateway among hundreds uses few, and what it never used would pass for normal.
        let seen = || self.servers.values().filter(|server| server.up && server.samples > 0);
        let mut slowness: Vec<f64> = seen().map(|server| server.slowness).collect();
        slowness.sort_by(f64::total_cmp);
        let median = slowness.get(slowness.len() / 2).copied().unwrap_or(1.0);
        let most = (slowness.len() as f64 * ASIDE_PART).ceil() as usize;
        let mut aside =
            self.servers.values().filter(|server| server.up && server.aside > 0.0 && !server.cut).count();
        for (id, server) in self.servers.iter_mut().filter(|(_, server)| server.up && server.aside == 0.0) {
            let usual = mean * server.slowness.clamp(1.0, SLOW_X);
            let silent = server.waits > SILENT_SUM * usual && server.silence(now) > SILENT_ONE * usual;
            if !silent && (server.samples < 5 || server.slowness < SLOW_X * median) {
                continue;
            }
            if aside < most {
                aside += 1;
                (server.aside, server.until) = (TEST_PAUSE * mean, now + TEST_PAUSE * mean);
                let why = if silent { "silent" } else { "slow or failing" };
                self.out.push(Action::Log(format!("server {id} set aside: {why}")));
            }
        }
    }

    /// What an outcome says of the server, of its class and of the fleet.
    pub(super) fn learn(&mut self, outcome: &Outcome) {
        let (now, mean, status) = (self.now, self.mean_latency(), outcome.status);
        let Some(request) = self.requests.get(&outcome.id) else { return };
        let Some(server) = self.servers.get_mut(&outcome.server) else { return };
        if !request.attempts.get(outcome.attempt).is_some_and(|attempt| attempt.open) {
            return;
        }
        let (size, class) = (request.size, &mut self.latency[request.class]);
        let usual = class.mean * size;
        server.out = (server.out - 1.0).max(0.0);
        if status == Status::ConnectError {
            return self.lost_path(&outcome.server);
        }
        if status == Status::Unreadable {
            // Any server's answers arrive spoilt alike: it is alive, and no slower or worse than the others.
            server.heard = now;
            return;
        }
        let bad = matches!(status, Status::Failed | Status::Reset | Status::QueueFull);
        let heard = bad || status == Status::Ok;
        server.heard = if heard { now } else { server.heard };
        let fine = status == Status::Ok && outcome.latency_ms < SLOW_X * usual || server.cut && heard;
        // One that was given up took at least so long: a server that answers nobody must not pass for usual.
        if heard || (status == Status::TimedOut && outcome.latency_ms > server.slowness * usual) {
            // A failure, however quick, is the longest latency: who turns work away is not the cheapest.
            let ratio = if bad { 2.0 * SLOW_X } else { (outcome.latency_ms / usual).min(2.0 * SLOW_X) };
            let gain = ((now - server.judged) / (GAIN_MEANS * mean)).clamp(SERVER_GAIN, SPARSE_GAIN);
            server.slowness += gain * (ratio - server.slowness);
            server.judged = now;
            server.samples += 1;
            if server.aside == 0.0 && status == Status::Ok {
                class.add(outcome.latency_ms / size, CLASS_GAIN);
                self.size.add(size, CLASS_GAIN);
            }
        }
        let aim = self.settings.classes[request.class].target_latency_ms;
        let late = outcome.latency_ms / (LATE_AT * aim * size / self.size.mean);
        if status == Status::QueueFull || server.aside == 0.0 && late > 1.0 && !bad {
            let by =
                self.unseen * if status == Status::QueueFull { 1.0 } else { (late - 1.0).min(LATE_MOST) };
            self.admit = (self.admit * SHED_DOWN.powf(by)).max(ODDS_LEAST);
            self.eased = 0.0;
        } else if status == Status::Ok {
            self.eased += EASE;
            // Few answers come while much is shed: each then counts for more, or the fleet would lie idle.
            let rare = RARE_X * (now - self.answered_at) / aim;
            self.admit = (self.admit + SHED_UP * rare.max(1.0) * (1.0 - late)).min(1.0);
        }
        self.answered_at = now;
        if matches!(status, Status::Ok | Status::TimedOut) {
            let calm = &mut self.calm[request.class];
            *calm = (*calm * CALM_CREEP).min(class.mean);
            let ratio = outcome.latency_ms / (*calm * size);
            server.lateness += SERVER_GAIN * (ratio.min(10.0) - server.lateness);
        }
        if server.lateness > NARROW_ABOVE || status == Status::QueueFull {
            server.limit = (server.limit * NARROW_BY).max(LEAST_LIMIT);
        } else if server.lateness < WIDEN_BELOW && server.out + 2.0 > server.limit {
            server.limit += 1.0 / server.limit;
        }
        if server.aside > 0.0 && fine {
            (server.aside, server.cut, server.samples, server.slowness) = (0.0, false, 0, 1.0);
            self.out.push(Action::Log(format!("server {} back", outcome.server)));
        } else if server.aside > 0.0 && server.out == 0.0 {
            server.aside = (server.aside * 2.0).min(TEST_PAUSE_MAX * mean);
            server.until = now + server.aside;
        }
    }

    /// No connection came about. That is no matter of load but of this gateway's own path (a link or a rule
    /// between the two, a full connection table) or of a server that is gone: exact after one try, and no
    /// other gateway may see it. So the server leaves the choice at once, however many do, and tells nothing
    /// of the fleet; the next of the ring takes its place. Danger: a path that loses one connection in some
    /// halves the choice for nothing, and what all gateways still reach gets their work: shedding must hold.
    fn lost_path(&mut self, id: &ServerId) {
        let (now, mean) = (self.now, self.mean_latency());
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.aside, server.until) = (TEST_PAUSE_MAX * mean, now + TEST_PAUSE_MAX * mean);
        self.lost += if server.cut { 0.0 } else { 1.0 };
        if !std::mem::replace(&mut server.cut, true) && (self.lost as usize).is_power_of_two() {
            self.out.push(Action::Log(format!("no connection to {} servers, the last one {id}", self.lost)));
        }
    }
}
