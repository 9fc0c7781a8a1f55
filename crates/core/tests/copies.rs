//! Requests with two attempts out, in virtual time: each attempt that went out ends once towards the module, the
//! first good answer is the client's, and where second copies are not allowed there is never a second one.

use nickeljunction_core::facade::{
    Class, Facade, Group, Intake, Outcome, Plan, RegionEntry, RegionState, Repeat, RequestKey, RoutedTask,
    ServiceTable, Settings,
};
use nickeljunction_core::life::{Answer, Core, Ports};

/// Writes down what the core wants; attempt numbers stand behind the request's.
#[derive(Default)]
struct Log(Vec<String>);

impl Ports for Log {
    type Content = ();
    type Served = &'static str;

    fn route(&mut self, task: &RoutedTask, (): &(), _: f64) {
        self.0.push(format!("route {}.{} {}", task.request, task.attempt, task.region));
    }

    fn give_up(&mut self, request: RequestKey, attempt: usize, why: Outcome) {
        self.0.push(format!("give up {request}.{attempt} {why:?}"));
    }

    fn answer(&mut self, (): (), answer: Answer<&'static str>) {
        self.0.push(match answer {
            Answer::Served(served) => format!("served {served}"),
            Answer::ShortOnCapacityReply(_) => "short".into(),
            Answer::Failed => "failed".into(),
        });
    }

    fn count(&mut self, _: String, _: f64, _: f64) {}

    fn close_idle(&mut self, _: &str) {}
}

fn class(repeat: Repeat, group: Group) -> Class {
    Class {
        name: "c".into(),
        aim_ms: 400.0,
        give_up_ms: 2_000.0,
        repeat,
        group,
        key_ttl_ms: 1_000.0,
        late_share: 0.0,
        stream: false,
        worth: 1.0,
    }
}

fn settings(repeat: Repeat, copies: bool) -> Settings {
    let plan = Plan {
        name: "p".into(),
        rate: 0.0,
        burst: 0.0,
        at_once: 0.0,
        price: 1.0,
        excess_worth: 0.0,
        over_cost: 0.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    };
    Settings {
        siblings: 1,
        step_ms: 2.0,
        classes: vec![class(repeat, Group::All)],
        plans: vec![plan],
        max_attempts: 3,
        second_copies: copies,
        may_cancel: true,
        ..Settings::default()
    }
}

fn region(uid: &str, pod_group: u64, state: RegionState) -> RegionEntry {
    let (endpoint, zone) = (String::new(), String::new());
    RegionEntry { uid: uid.into(), endpoint, state, zone, pod_group, weight: 1.0, boot_ms: 0.0 }
}

/// A core over two regions of one pod group, with one request out since 1,000 ms.
fn one_out(settings: Settings) -> Core<Log> {
    let mut core = Core::new(Facade::new(settings, 1, false).expect("good settings"), Log::default());
    let regions = ["a", "b"].map(|uid| region(uid, 1, RegionState::Ready)).to_vec();
    core.table(1_000.0, ServiceTable { rev: 1, all: true, regions }, true);
    let (class, plan) = ("c".to_string(), "p".to_string());
    let (customer, patience_ms, units, doors) = (1, 2_000.0, 1.0, 1);
    let intake =
        Intake { class, never_twice: false, plan, customer, patience_ms, units, doors, retry: false };
    core.arrive(1_000.0, 7, 0.0, intake, ());
    assert_eq!(core.ports().0.len(), 1, "one attempt is out");
    core
}

/// Lets time pass in ticks, up to and with `until`.
fn pass(core: &mut Core<Log>, from: f64, until: f64) {
    let mut now = from;
    while now <= until {
        core.tick(now);
        now += 2.0;
    }
}

/// The same, with the copy that the silence of the first attempt brings: it is out from 1,300 ms on.
fn two_out(settings: Settings) -> Core<Log> {
    let mut core = one_out(settings);
    pass(&mut core, 1_000.0, 1_300.0);
    let routes = core.ports().0.iter().filter(|line| line.starts_with("route")).count();
    assert_eq!(routes, 2, "{:?}", core.ports().0);
    core
}

/// What was written down after the two attempts went out.
fn since(core: &mut Core<Log>) -> Vec<String> {
    core.ports().0[2..].to_vec()
}

#[test]
fn the_copy_answers_and_the_first_is_called_off() {
    let mut core = two_out(settings(Repeat::Repeatable, true));
    core.ended(1_310.0, 7, 1, Outcome::Served, 1.0, Some("copy"));
    assert_eq!(since(&mut core), ["served copy", "give up 7.0 CalledOff"]);
    assert_eq!((core.open(), core.audit(2_000.0)), (0, Vec::new()));
}

#[test]
fn the_copy_answers_and_the_first_runs_on_where_cancelling_is_not_allowed() {
    let mut core = two_out(Settings { may_cancel: false, ..settings(Repeat::Repeatable, true) });
    core.ended(1_310.0, 7, 1, Outcome::Served, 1.0, Some("copy"));
    assert_eq!((core.open(), core.audit(1_310.0)), (1, Vec::new()), "the first is still out, in both books");
    core.ended(1_400.0, 7, 0, Outcome::Reset, 0.0, None);
    assert_eq!(since(&mut core), ["served copy"], "nothing twice");
    assert_eq!((core.open(), core.audit(2_000.0)), (0, Vec::new()));
}

#[test]
fn there_is_no_copy_where_the_settings_or_the_class_forbid_it() {
    for settings in [settings(Repeat::Repeatable, false), settings(Repeat::Once, true)] {
        let mut core = one_out(settings);
        pass(&mut core, 1_000.0, 1_900.0);
        let mut most = 0;
        let mut out = 0_i32;
        for line in &core.ports().0 {
            out += i32::from(line.starts_with("route")) - i32::from(line.starts_with("give up"));
            most = most.max(out);
        }
        assert_eq!(most, 1, "{:?}", core.ports().0);
    }
}
