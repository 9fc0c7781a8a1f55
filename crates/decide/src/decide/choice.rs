//! The choice of a server for a request.

use super::*;
use std::cmp::Ordering;

/// Part of the first attempts that may test a lost path: with most lost, tests would use up the attempts.
const PATH_TESTS: f64 = 0.05;
/// Attempts out at one server: first bound.
const FIRST_LIMIT: f64 = 2.0;
/// A gateway uses as many servers as its own sends in so many mean aims can judge, and at least so many:
/// seen once in a minute a server can't be judged, and every hung one would be met anew.
const SUBSET_AIMS: f64 = 2.0;
const SUBSET_LEAST: f64 = 8.0;
/// Time constant of a server's and the fleet's send rate, ms.
const RATE_SPAN_MS: f64 = 2_000.0;

impl Limiter {
    pub(super) fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        let now = self.now;
        if kind == ListKind::Failed {
            self.out.push(Action::SubscribeServers);
            return;
        }
        if kind != ListKind::Incremental {
            self.servers.values_mut().for_each(|server| server.up = false);
        }
        for entry in entries {
            let warm = entry.started_at_ms <= 0.0 || now - entry.started_at_ms >= self.settings.warmup_ms;
            let cold_since = if warm { f64::NEG_INFINITY } else { entry.started_at_ms };
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(now, FIRST_LIMIT));
            if cold_since > server.cold_since {
                // A restarted process: what was learned of the old one says nothing of it. Hundreds of
                // gateways hear of it at once: each draws when its first send is due, or all would come.
                let tokens = self.rng.f64();
                *server = Server { out: server.out, cold_since, tokens, ..Server::new(now, FIRST_LIMIT) };
            }
            server.up = entry.state == ServerState::Up;
            (server.zone, server.cell, server.weight) = (entry.zone, entry.cell, entry.weight.max(1e-3));
            (server.near, server.order) = (entry.distance, entry.rank);
        }
        self.servers.retain(|_, server| server.up || server.out > 0.0);
        // Gateways in turn begin at different ranks of the ids in order, so that every server has as many.
        self.ring = self.servers.iter().filter(|(_, server)| server.up).map(|(id, _)| id.clone()).collect();
        let first = (self.settings.gateway_index as f64 * 0.618_033_988_75).fract() * self.ring.len() as f64;
        self.ring.rotate_left(first as usize);
        // Far ones serve where those nearer by are too few for the subset; among equals the turn stays.
        let place = |id: &ServerId| (self.servers[id].near, self.servers[id].order);
        self.ring.sort_by(|a, b| place(a).partial_cmp(&place(b)).unwrap_or(Ordering::Equal));
        self.drain_line();
    }

    /// The cheapest server for a request: own work out, own latency seen, stated size. `None`: no place.
    fn pick(&mut self, id: &RequestId) -> Option<ServerId> {
        let (now, mean, request) = (self.now, self.mean_latency(), &self.requests[id]);
        let class = &self.settings.classes[request.class];
        let once = class.retry_safety == RetrySafety::AtMostOnce;
        // A keyed request that may have run goes only where its repeat is dropped.
        let keyed = request
            .first_run()
            .filter(|_| class.retry_safety == RetrySafety::Keyed && class.dedup_scope != DedupScope::All);
        let home = keyed.map(|run| self.servers.get(&run.server).map(|home| (home.zone.clone(), home.cell)));
        let aims = self.settings.classes.iter().map(|class| class.target_latency_ms).sum::<f64>();
        let span = SUBSET_AIMS * aims / self.settings.classes.len() as f64;
        let least = SUBSET_LEAST.max(self.settings.min_subset);
        let subset = (self.sends / RATE_SPAN_MS * span).ceil().max(least).min(self.ring.len() as f64);
        let share = self.sends / RATE_SPAN_MS / subset.max(1.0);
        // Only a request that can be repeated tests a server that is set aside.
        let tester = !once && self.settings.hedging && request.attempts.is_empty();
        let prober = request.attempts.is_empty() && self.rng.f64() < PATH_TESTS;
        let (mut best, mut met): (Option<(f64, &ServerId)>, f64) = (None, 0.0);
        for name in &self.ring {
            // What is set aside leaves its place in the subset to the next one.
            if met >= subset && best.is_some() {
                break;
            }
            let Some(server) = self.servers.get_mut(name).filter(|server| server.up) else { continue };
            met += if server.aside > 0.0 { 0.0 } else { 1.0 };
            let stranger = home.as_ref().is_some_and(|home| match (class.dedup_scope, home) {
                (DedupScope::Zone, Some((zone, _))) => *zone != server.zone,
                (_, Some((_, cell))) => *cell != server.cell,
                (_, None) => true,
            });
            let tried = request.attempts.iter().any(|attempt| &attempt.server == name);
            if stranger || tried || server.out >= server.limit {
                continue;
            }
            let may_test = if server.cut { prober } else { tester };
            if server.aside > 0.0 && (!may_test || now < server.until || server.out > 0.0) {
                continue;
            }
            // The cheapest to all gateways would be driven over: by chance, the odds falling with the cost.
            let luck = (-(1.0 - self.rng.f64()).ln()).powf(self.unseen) * (1.0 + 0.05 * self.rng.f64());
            // What is due for a test goes first.
            let cost =
                if server.aside > 0.0 { 0.0 } else { server.cost(now, mean, once, self.unseen) * luck };
            // The more paths are lost the dearer is one not heard of: it is likely lost too.
            let cost = if server.samples == 0 { cost * (1.0 + self.lost).powi(2) } else { cost };
            if best.is_none_or(|(least, _)| cost < least) && server.warm_enough(now, share, &self.settings) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    pub(super) fn dispatch(&mut self, id: &RequestId) -> bool {
        let Some(server_id) = self.pick(id) else { return false };
        if self.requests[id].stage == Stage::Line {
            self.line.retain(|other| other != id);
        }
        let (now, request) = (self.now, self.requests.get_mut(id).expect("picked for it"));
        request.stage = Stage::Out;
        let first = request.attempts.is_empty();
        let server = server_id.clone();
        request.attempts.push(Attempt { server, sent: now, open: true, may_have_run: true });
        if let Some(account) = self.accounts.get_mut(&request.customer) {
            account.open += 1.0;
        }
        self.sends = self.sends * (-(now - self.sends_at) / RATE_SPAN_MS).exp() + 1.0;
        self.sends_at = now;
        self.retries =
            if first { (self.retries + RETRY_RATE).min(RETRY_SAVED) } else { (self.retries - 1.0).max(0.0) };
        let server = self.servers.get_mut(&server_id).expect("picked");
        server.out += 1.0;
        server.tokens -= 1.0;
        server.oldest = server.oldest.min(now);
        let limit = self.bound(id);
        self.out.push(Action::Send(id.clone(), server_id, limit));
        true
    }
}

impl Server {
    /// Steeper among many gateways: each sees little, and a jammed server is left only if all leave it.
    fn cost(&self, now: f64, mean: f64, once: bool, unseen: f64) -> f64 {
        let silence = self.silence(now) / mean;
        // What hangs there can't be sent elsewhere.
        let risk = if once { 1.0 + silence * silence } else { 1.0 };
        self.slowness.max(silence / 2.0).powf(2.0 + 2.0 * unseen) * risk * (self.out + 1.0) / self.weight
    }
}
