//! The machine's events as log lines.

use nickeljunction_replica::Event;

/// Logs an event.
pub fn tell(event: &Event) {
    match event {
        Event::LeadBegun { term, servers, gateways, logged_gateways, held_ms, .. } => log::info!(
            "event=lead_begun term={term} servers={servers} gateways={gateways} unheard={logged_gateways} held_ms={held_ms}"
        ),
        Event::LeadEnded { term } => log::info!("event=lead_ended term={term}"),
        Event::ServerSilent { id } => log::info!("event=server_silent life={id}"),
        Event::ServerChanged { id, backend, zone, state, warmup_left_ms } => log::info!(
            "event=server life={id} backend={backend} zone={zone} state={state:?} cold_ms={warmup_left_ms}"
        ),
        Event::ServerGone { id } => log::info!("event=server_gone life={id}"),
        Event::GatewayDisconnected { name } => log::info!("event=gateway_away name={name}"),
        Event::GatewaysEnrolled { added, removed } => {
            log::info!("event=gateways_enrolled come={added:?} gone={removed}");
        }
        Event::ConfigChange { patch, base, version, outcome } => {
            let method = if *patch { "PATCH" } else { "PUT" };
            log::info!(
                "event=config_change method={method} base={base} version={version} outcome={outcome:?}"
            );
        }
        Event::MembershipOrder { request, outcome } => {
            let wish = format!("{request:?}");
            log::info!("event=core_order wish={wish:?} outcome={outcome:?}");
        }
        Event::Evacuation { zone, ended } => {
            let method = if *ended { "DELETE" } else { "POST" };
            log::info!("event=evacuation method={method} zone={zone}");
        }
        Event::Trial { tenant, trial } => {
            let direction = if trial.lapses { "rising" } else { "falling" };
            let (step, stage) = (trial.step, trial.stage);
            log::info!("event=trial tenant={tenant:?} step={step} stage={stage} direction={direction}");
        }
        Event::ProposalRefused { error } => log::warn!("event=proposal_refused error={error:?}"),
        Event::SnapshotUnreadable { index, error } => {
            log::error!("event=snapshot_unreadable index={index} error={error:?}");
        }
        Event::EntryUnreadable { index, error } => {
            log::error!("event=entry_unreadable index={index} error={error:?}");
        }
        Event::Diverged { index, version } => {
            log::error!("event=state_diverged index={index} version={version}");
        }
        Event::StateTransferred { last_index } => log::warn!("event=state_restated index={last_index}"),
    }
}
