//! The machine's events as log lines.

use nickeljunction_replica::Event;

/// Logs an event.
pub fn tell(event: &Event) {
    match event {
        Event::LeadBegun { term, servers, gateways, unheard, held_ms, .. } => log::info!(
            "event=lead_begun term={term} servers={servers} gateways={gateways} unheard={unheard} held_ms={held_ms}"
        ),
        Event::LeadEnded { term } => log::info!("event=lead_ended term={term}"),
        Event::ServerSilent { life } => log::info!("event=server_silent life={life}"),
        Event::Server { life, backend, zone, state, cold_ms } => log::info!(
            "event=server life={life} backend={backend} zone={zone} state={state:?} cold_ms={cold_ms}"
        ),
        Event::ServerGone { life } => log::info!("event=server_gone life={life}"),
        Event::GatewayAway { name } => log::info!("event=gateway_away name={name}"),
        Event::GatewaysEnrolled { come, gone } => {
            log::info!("event=gateways_enrolled come={come:?} gone={gone}");
        }
        Event::ConfigChange { patch, base, version, outcome } => {
            let method = if *patch { "PATCH" } else { "PUT" };
            log::info!(
                "event=config_change method={method} base={base} version={version} outcome={outcome:?}"
            );
        }
        Event::CoreOrder { wish, outcome } => {
            let wish = format!("{wish:?}");
            log::info!("event=core_order wish={wish:?} outcome={outcome:?}");
        }
        Event::Evacuation { zone, back } => {
            let method = if *back { "DELETE" } else { "POST" };
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
        Event::Restated { after } => log::warn!("event=state_restated index={after}"),
    }
}
