// Copy to deploy/plugin.rhai, or name it in NICKELJUNCTION_PLUGIN. Called once for each request.
// request: method, path, class, plan, customer, units, retry. Return () to let it pass as it is, or a map:
//   #{never_twice: true}   #{class: "donor-checkin"}   #{units: 4}   #{refuse: true, retry_after_ms: 500}
fn admit(request) {
    if request.path.starts_with("/slot-lookup/export") && request.plan == "starter" {
        return #{refuse: true, retry_after_ms: 2000};
    }
    if request.path.starts_with("/slot-lookup/audit") {
        return #{never_twice: true, units: 4};
    }
}
