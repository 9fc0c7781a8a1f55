//! The choice of a server for a request.

use super::*;
use std::cmp::Ordering;

/// Fraction of first attempts that may test an unreachable server, so that tests don't use up the attempts.
const PATH_TESTS: f64 = 0.05;
/// Initial limit on attempts in flight at one server.
const FIRST_LIMIT: f64 = 2.0;
/// A gateway uses as many servers as it sends requests in this many mean target latencies, and at least the
/// minimum: a server used once a minute can't be judged, and every hung one would cost requests anew.
const SUBSET_TARGETS: f64 = 2.0;
const MIN_SUBSET: f64 = 8.0;
/// Time constant of the send rate, ms.
const RATE_SPAN_MS: f64 = 2_000.0;

impl Limiter {
    pub(super) fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        let now = self.now;
        if kind == ListKind::Failed {
            return self.actions.push(Action::SubscribeServers);
        }
        if kind != ListKind::Incremental {
            self.servers.values_mut().for_each(|server| server.up = false);
        }
        for entry in entries {
            let warm = entry.started_at_ms <= 0.0 || now - entry.started_at_ms >= self.settings.warmup_ms;
            let cold_since = if warm { f64::NEG_INFINITY } else { entry.started_at_ms };
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(now, FIRST_LIMIT));
            if cold_since > server.cold_since {
                // A restarted process: the old averages no longer apply. Hundreds of gateways learn of it at
                // once, and a random start spreads their first sends.
                let (tokens, in_flight) = (self.rng.f64(), server.in_flight);
                *server = Server { in_flight, cold_since, tokens, ..Server::new(now, FIRST_LIMIT) };
            }
            server.up = entry.state == ServerState::Up;
            (server.zone, server.cell, server.weight) = (entry.zone, entry.cell, entry.weight.max(1e-3));
            (server.distance, server.rank) = (entry.distance, entry.rank);
        }
        self.servers.retain(|_, server| server.up || server.in_flight > 0.0);
        // Gateways start at different positions in the sorted ids, so that each server is in as many subsets.
        let up = self.servers.iter().filter(|(_, server)| server.up);
        let mut candidates: Vec<ServerId> = up.map(|(id, _)| id.clone()).collect();
        let first = (self.settings.gateway_index as f64 * 0.618_033_988_75).fract() * candidates.len() as f64;
        candidates.rotate_left(first as usize);
        // Distant servers are used if nearer ones are too few. A stable sort keeps the rotation.
        let place = |id: &ServerId| (self.servers[id].distance, self.servers[id].rank);
        candidates.sort_by(|a, b| place(a).partial_cmp(&place(b)).unwrap_or(Ordering::Equal));
        self.candidates = candidates;
        self.drain_queue();
    }

    /// The server of the lowest cost among those below their limits.
    fn choose_server(&mut self, id: &RequestId) -> Option<ServerId> {
        let (now, mean, request) = (self.now, self.mean_latency(), &self.requests[id]);
        let class = &self.settings.classes[request.class];
        let once = class.retry_safety == RetrySafety::AtMostOnce;
        // A keyed request that may have run is sent only where its key is known.
        let keyed = class.retry_safety == RetrySafety::Keyed && class.dedup_scope != DedupScope::All;
        let run = request.first_run().filter(|_| keyed);
        let scope = run.map(|run| self.servers.get(&run.server).map(|home| (home.zone.clone(), home.cell)));
        let targets = self.settings.classes.iter().map(|class| class.target_latency_ms).sum::<f64>();
        let span = SUBSET_TARGETS * targets / self.settings.classes.len() as f64;
        let least = MIN_SUBSET.max(self.settings.min_subset);
        let subset = (self.sends / RATE_SPAN_MS * span).ceil().max(least).min(self.candidates.len() as f64);
        let share = self.sends / RATE_SPAN_MS / subset.max(1.0);
        // Only a request that may be repeated tests an ejected server.
        let tests_ejected = !once && self.settings.hedging && request.attempts.is_empty();
        let tests_path = request.attempts.is_empty() && self.rng.f64() < PATH_TESTS;
        let (mut best, mut members): (Option<(f64, &ServerId)>, f64) = (None, 0.0);
        for name in &self.candidates {
            // An ejected server leaves its place in the subset to the next one.
            if members >= subset && best.is_some() {
                break;
            }
            let Some(server) = self.servers.get_mut(name).filter(|server| server.up) else { continue };
            members += if server.ejected() { 0.0 } else { 1.0 };
            let out_of_scope = scope.as_ref().is_some_and(|first| match (class.dedup_scope, first) {
                (DedupScope::Zone, Some((zone, _))) => *zone != server.zone,
                (_, Some((_, cell))) => *cell != server.cell,
                (_, None) => true,
            });
            let tried = request.attempts.iter().any(|attempt| &attempt.server == name);
            let may_test = if server.unreachable { tests_path } else { tests_ejected };
            let test_due = may_test && now >= server.ejected_until && server.in_flight <= 0.0;
            let full = server.in_flight >= server.limit;
            if out_of_scope || tried || full || server.ejected() && !test_due {
                continue;
            }
            // Random, since the server that is cheapest to all gateways would be overloaded; likelier at low
            // cost.
            let luck = (-(1.0 - self.rng.f64()).ln()).powf(self.others_share) * (1.0 + 0.05 * self.rng.f64());
            // A due test goes first.
            let cost = server.cost(now, mean, once, self.others_share) * luck;
            let cost = if server.ejected() { 0.0 } else { cost };
            // The more servers are unreachable, the likelier an unused one is unreachable too.
            let cost = if server.samples == 0 { cost * (1.0 + self.unreachable).powi(2) } else { cost };
            if best.is_none_or(|(least, _)| cost < least) && server.warm_enough(now, share, &self.settings) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Sends an attempt of a request; false if no server can take it.
    pub(super) fn dispatch(&mut self, id: &RequestId) -> bool {
        let Some(server_id) = self.choose_server(id) else { return false };
        if self.requests[id].stage == Stage::Queued {
            self.queue.retain(|other| other != id);
        }
        let (now, request) = (self.now, self.requests.get_mut(id).expect("choose_server has found it"));
        request.stage = Stage::InFlight;
        let first = request.attempts.is_empty();
        let server = server_id.clone();
        request.attempts.push(Attempt { server, sent: now, open: true, may_have_run: true });
        if let Some(account) = self.accounts.get_mut(&request.customer) {
            account.in_flight += 1.0;
        }
        self.sends = self.sends * (-(now - self.sends_at) / RATE_SPAN_MS).exp() + 1.0;
        self.sends_at = now;
        let change = if first { RETRY_RATE } else { -1.0 };
        self.retry_budget = (self.retry_budget + change).clamp(0.0, MAX_RETRY_BUDGET);
        let server = self.servers.get_mut(&server_id).expect("choose_server has found it");
        server.in_flight += 1.0;
        server.tokens -= 1.0;
        server.oldest = server.oldest.min(now);
        let timeout = self.attempt_timeout(id);
        self.actions.push(Action::Send(id.clone(), server_id, timeout));
        true
    }
}

impl Server {
    /// Steeper among many gateways: each sees little, and an overloaded server recovers only if all avoid it.
    fn cost(&self, now: f64, mean: f64, once: bool, others_share: f64) -> f64 {
        let silence = self.silence(now) / mean;
        // A request that must not run twice can't be sent elsewhere if the server hangs.
        let risk = if once { 1.0 + silence * silence } else { 1.0 };
        let slowness = self.slowness.max(silence / 2.0).powf(2.0 + 2.0 * others_share);
        slowness * risk * (self.in_flight + 1.0) / self.weight
    }
}
