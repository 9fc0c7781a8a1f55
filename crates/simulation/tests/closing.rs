//! Days that end with a loss of disks while every other machine, gateways too, loses power at the same moment: what was
//! acknowledged must be read back. Before that as many disks as may be lost go again and again, each time as soon as a wiped
//! machine has been back for `sync_time_s`, while operators and servers give every kind of order without a pause
//! (`docs/design/acknowledgements.md`).

use nickeljunction_replica::MembershipRequest;
use nickeljunction_simulation::{host, Plan, Question, World};

/// Days of each deployment; `CLOSING_DAYS` sets another number.
const DAYS: u64 = 40;
const RATE: u64 = 90;
/// Losses of disks before the closing one.
const EARLIER: usize = 4;
/// Entries between two snapshots, as in `replica`.
const SNAPSHOT_EVERY: u64 = 64;
/// `sync_time_s` of all deployments, at most, ms.
const SYNC_MOST_MS: u64 = 6_000;

/// A deployment: core machines, how many disks may go at once, and how long after its return a machine counts as lost, ms.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    members: usize,
    losses: usize,
    sync_ms: u64,
    /// What is lost doesn't come back: empty machines come in its place, under addresses of their own.
    exchanged: bool,
}

impl Deployment {
    /// Addresses: those of the first machines, and of all that come in the place of others.
    fn addresses(&self) -> usize {
        self.members + if self.exchanged { EARLIER * self.losses } else { 0 }
    }
}

const SMALL: Deployment = Deployment { members: 3, losses: 1, sync_ms: 4_000, exchanged: false };
const GROWN: Deployment = Deployment { members: 5, losses: 2, sync_ms: 6_000, exchanged: false };

/// When the loss strikes.
#[derive(Debug, Clone, Copy)]
enum Moment {
    /// Within 4 ms after an acknowledgement.
    Acknowledged,
    /// So many ms after a change was sent, acknowledged or not.
    Sent,
}

fn world(of: Deployment, seed: u64) -> World {
    let plan = Plan { members: of.addresses(), seeds: 3, gateways: 4, strict: seed.is_multiple_of(2) };
    let mut world = World::bearing(plan, of.losses, seed);
    (of.members..of.addresses()).for_each(|node| world.remove(node));
    world.settle(5_000);
    world.commit(RATE);
    assert!(world.until(10_000, World::complete), "seed {seed}: the core did not grow");
    world.members.iter_mut().for_each(|member| member.disk_ms = 1 + seed % 12);
    world
}

/// Two operators change the configuration on the newest version, some 300 ms apart, for so long.
fn storm(world: &mut World, ms: u64) {
    let end = world.now + ms;
    while world.now < end {
        change(world);
        let pause = world.rng.u64(100..500).min(end.saturating_sub(world.now));
        world.run(pause);
    }
}

/// The core machines that are there.
fn all_present(world: &World) -> Vec<usize> {
    (0..world.members.len()).filter(|node| !world.absent.contains(node)).collect()
}

/// One of them.
fn present(world: &mut World) -> usize {
    let nodes = all_present(world);
    nodes[world.rng.usize(..nodes.len())]
}

/// Two operators change the configuration on the newest version; at times another kind of order goes with it.
fn change(world: &mut World) {
    for _ in 0..2 {
        let base = world.audit.state.version();
        let question = if world.rng.bool() { world.put(base, RATE) } else { world.patch(base, RATE) };
        let to = present(world);
        world.order(to, question);
    }
    let to = present(world);
    match world.rng.u8(..16) {
        0 | 1 => evacuate_or_return(world, to),
        2 => {
            let lapse = world.rng.bool();
            world.trial(to, lapse);
        }
        3 | 4 => depart(world),
        5 => drop(world.order(to, Question::Get)),
        _ => {}
    }
}

/// A zone that no order is under way for is evacuated, or taken back.
fn evacuate_or_return(world: &mut World, to: usize) {
    let zone = format!("z{}", world.rng.u8(3..9));
    let of_zone = |question: &Question| matches!(question, Question::Evacuate(of) | Question::Return(of) if *of == zone);
    if world.people.orders.iter().any(|order| order.answer.is_none() && of_zone(&order.question)) {
        return;
    }
    let question = match world.audit.state.evacuated().contains(&zone) {
        true => Question::Return(zone),
        false => Question::Evacuate(zone),
    };
    world.order(to, question);
}

/// A server comes, and one that was there drains or ends.
fn depart(world: &mut World) {
    let number = world.people.servers.len();
    world.server(&format!("s{number}"), &format!("10.2.{}.{}:80", number / 200, number % 200), "b", "z1");
    let leaving = world.rng.usize(..=number);
    if world.people.servers[leaving].ended {
        return;
    }
    match world.rng.bool() {
        true => world.drain(leaving),
        false => world.leave(leaving),
    }
}

/// Whose disks go: drawn, the acknowledging one among them, or those that have lasted longest.
fn victims(world: &mut World, of: Deployment, ages: &[u64]) -> Vec<usize> {
    let mut nodes = all_present(world);
    match world.rng.u8(..3) {
        0 => world.rng.shuffle(&mut nodes),
        1 => nodes.sort_by_key(|node| ages[*node]),
        _ => {
            world.rng.shuffle(&mut nodes);
            let said = world.audit.said.iter().rev().find(|said| said.what == "ack");
            let said = said.map_or(0, |said| said.member);
            nodes.sort_by_key(|node| *node != said);
        }
    }
    nodes.truncate(of.losses);
    nodes
}

/// Troubles that take no disk: they may come in any number, and overlap with a loss of disks.
fn trouble(world: &mut World) {
    for _ in 0..world.rng.usize(0..=3) {
        let node = present(world);
        match world.rng.u8(..11) {
            0 => world.kill(node),
            1 => all_present(world).into_iter().for_each(|node| world.power_off(node, 0)),
            2 => world.power_off(node, 1),
            3 => world.freeze(node),
            4 => world.cut_off(node, true, true),
            5 => split(world),
            6 => world.members[node].disk.hang(true),
            7 => world.members[node].disk_ms = 100,
            8 => fill_disks(world),
            9 => fill_disks_at_a_snapshot(world),
            _ => leave_behind(world),
        }
        change(world);
        let ms = world.rng.u64(..700);
        world.run(ms);
    }
}

/// Disks take no writes for a while: the leader's alone, those of a majority, or all.
fn fill_disks(world: &mut World) {
    let mut nodes = all_present(world);
    world.rng.shuffle(&mut nodes);
    let leader = world.leader();
    nodes.sort_by_key(|node| Some(*node) != leader);
    let majority = nodes.len() / 2 + 1;
    let count = [1, majority, nodes.len()][world.rng.usize(..3)];
    nodes.truncate(count);
    nodes.iter().for_each(|node| world.members[*node].disk.fail(true));
    change(world);
    let ms = world.rng.u64(100..1_500);
    world.run(ms);
    // Some stay full until the loss, or until their process ends.
    nodes.iter().for_each(|node| world.members[*node].disk.fail(world.rng.u8(..4) == 0));
}

/// The same while a snapshot takes the place of the log's entries.
fn fill_disks_at_a_snapshot(world: &mut World) {
    let begun = |world: &World| {
        let state = world.leader().and_then(|leader| world.members[leader].applied_since_snapshot());
        state.is_some_and(|since| since + 2 >= SNAPSHOT_EVERY)
    };
    for _ in 0..SNAPSHOT_EVERY {
        if begun(world) {
            break;
        }
        change(world);
        world.run(30);
    }
    fill_disks(world);
}

/// A minority misses changes; then one of the others loses its disk while the rest are dark, and the minority is back.
fn leave_behind(world: &mut World) {
    let mut nodes = all_present(world);
    world.rng.shuffle(&mut nodes);
    let majority = nodes.len() / 2 + 1;
    let behind = nodes.split_off(majority);
    for (here, there) in nodes.iter().flat_map(|here| behind.iter().map(move |there| (*here, *there))) {
        world.cuts.extend([(here, there), (there, here)]);
    }
    for _ in 0..3 {
        change(world);
        world.run(150);
    }
    // It counts as one of the disks that are lost: nothing else is lost before all is back.
    nodes.iter().skip(1).for_each(|node| world.power_off(*node, 0));
    world.wipe(nodes[0]);
    world.run(200);
    world.start(nodes[0]);
    world.cuts.clear();
    change(world);
    let ms = world.rng.u64(500..2_500);
    world.run(ms);
    nodes.iter().skip(1).for_each(|node| world.start(*node));
    world.heal();
    world.run(SYNC_MOST_MS);
}

/// Cuts the core into two halves; gateways and operators reach both.
fn split(world: &mut World) {
    let mut nodes = all_present(world);
    world.rng.shuffle(&mut nodes);
    let (one, other) = nodes.split_at(nodes.len() / 2);
    for (left, right) in one.iter().flat_map(|left| other.iter().map(move |right| (*left, *right))) {
        world.cuts.extend([(left, right), (right, left)]);
    }
}

/// Waits for the moment of a loss; in trouble no acknowledgement may come for long.
fn await_moment(world: &mut World, moment: Moment) {
    let acked = world.audit.acked.len();
    change(world);
    match moment {
        Moment::Acknowledged => {
            world.until(3_000, |world| world.audit.acked.len() > acked);
            let ms = world.rng.u64(0..=4);
            world.run(ms);
        }
        Moment::Sent => {
            let ms = world.rng.u64(5..400);
            world.run(ms);
        }
    }
}

/// Wipes the victims; everything else, gateways too, loses power with them. All are back within 1.5 s of one another.
fn lose_all(world: &mut World, victims: &[usize]) {
    let mut nodes = all_present(world);
    for node in nodes.iter().copied() {
        let survive = world.rng.usize(0..3);
        match victims.contains(&node) {
            true => world.wipe(node),
            false => world.power_off(node, survive),
        }
    }
    (0..world.gateways.len()).for_each(|gateway| world.kill_gateway(gateway));
    let down = world.rng.u64(300..1_500);
    world.run(down);
    world.rng.shuffle(&mut nodes);
    for node in nodes {
        world.start(node);
        let ms = world.rng.u64(..100);
        world.run(ms);
    }
    (0..world.gateways.len()).for_each(|gateway| world.start_gateway(gateway));
}

/// Goes on to the moment of a loss of disks, through troubles or not; whose disks go.
fn loss(world: &mut World, of: Deployment, ages: &[u64]) -> Vec<usize> {
    if world.rng.bool() {
        trouble(world);
    }
    let moment = if world.rng.bool() { Moment::Acknowledged } else { Moment::Sent };
    await_moment(world, moment);
    victims(world, of, ages)
}

fn day(of: Deployment, seed: u64) -> usize {
    let mut world = world(of, seed);
    let mut ages = vec![0; of.addresses()];
    let mut fresh = of.members..of.addresses();
    for _ in 0..EARLIER {
        storm(&mut world, 2_000);
        let gone = loss(&mut world, of, &ages);
        for node in &gone {
            match of.exchanged {
                true => world.remove(*node),
                false => world.wipe(*node),
            }
            // The next one goes at the same moment, or before this one is back.
            if world.rng.bool() {
                let ms = world.rng.u64(..of.sync_ms / 2);
                world.run(ms);
            }
        }
        let down = world.rng.u64(100..2_000);
        world.run(down);
        let back: Vec<usize> = match of.exchanged {
            true => fresh.by_ref().take(gone.len()).collect(),
            false => gone.clone(),
        };
        if of.exchanged {
            // Three of those that are there: what is in the files of all that start from now on.
            let mut nodes = all_present(&world);
            world.rng.shuffle(&mut nodes);
            let seeds = nodes.iter().take(3).map(|node| host(*node)).collect();
            world.reseed(seeds);
            back.iter().for_each(|node| world.add(*node));
            // At times an operator says so, too.
            for (new, old) in back.iter().zip(&gone) {
                if world.rng.bool() {
                    let wish = MembershipRequest::Add(host(*new), Some(host(*old)));
                    let to = present(&mut world);
                    world.order(to, Question::Core(wish));
                }
            }
        }
        back.iter().for_each(|node| ages[*node] = world.now);
        world.heal();
        // No longer than it may take: then the next ones may go.
        storm(&mut world, of.sync_ms);
    }
    let gone = loss(&mut world, of, &ages);
    lose_all(&mut world, &gone);
    world.heal();
    world.settle(10_000);
    world.converge(10_000);
    world.audit.acked.len()
}

fn days(of: Deployment) {
    let days = std::env::var("CLOSING_DAYS").ok().and_then(|text| text.parse().ok()).unwrap_or(DAYS);
    let acknowledged: usize = (0..days).map(|seed| day(of, seed)).sum();
    println!("{of:?}: {acknowledged} changes acknowledged over {days} days, none lost");
    assert!(acknowledged > 40 * days as usize, "the days left nothing to lose: {acknowledged}");
}

#[test]
fn disks_lost_while_all_others_lose_power_lose_nothing_of_three() {
    days(SMALL);
}

#[test]
fn disks_lost_while_all_others_lose_power_lose_nothing_of_five() {
    days(GROWN);
}

#[test]
fn machines_exchanged_for_empty_ones_lose_nothing_of_three() {
    days(Deployment { exchanged: true, ..SMALL });
}

#[test]
fn machines_exchanged_for_empty_ones_lose_nothing_of_five() {
    days(Deployment { exchanged: true, ..GROWN });
}
