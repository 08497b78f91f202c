"""The mechanisms that an ablation run disables: name, file, original text and
replacement.
"""

PLANNER = "packages/decision/stages/call_planner.cpp"
ORDER = "packages/decision/stages/call_planner_order.cpp"
FORECAST = "packages/decision/admission/admission_forecast.cpp"
ROSTER = "packages/decision/entry_roster.cpp"
ENGINES = "packages/decision/engines/engine_selector.cpp"
ENGINE_PACE = "packages/decision/engines/engine_pace.cpp"
ESTIMATES = "packages/decision/stages/call_planner_estimates.cpp"
ADMISSION = "packages/decision/stages/call_planner_admission.cpp"
STAGES = "packages/serving/stage_runner.cpp"

MECHANISMS = [
    ("gathering for the fleet", "packages/serving/peer_mesh.cpp",
     "    const auto found = m_links.find(m_roster.batching_entry(service));",
     "    if (!service.empty())\n        return nullptr;\n"
     "    const auto found = m_links.find(m_roster.batching_entry(service));"),
    ("one gatherer while all stop", ROSTER,
     "    double largest = 0;",
     "    if (m_is_stopping)\n        return m_own_address;\n    double largest = 0;"),
    ("settling before stages begin", ROSTER,
     "    if (m_seeds.empty() || !is_discovering(now))",
     "    if (m_seeds.empty() || !is_discovering(now) ||\n"
     "        !m_own_address.empty())"),
    ("callers left to entries that go on", ROSTER,
     "    return static_cast<double>(count) >=",
     "    return m_own_address.empty() && static_cast<double>(count) >="),
    ("zone of results", STAGES,
     "    job.zone = preferred_zone(stage);", "    job.zone = {};"),
    ("wait for a target of the zone", ORDER,
     "!waits_for_zone(state.job, target, now))",
     "(!waits_for_zone(state.job, target, now) ||\n"
     "             !state.job.zone.empty()))"),
    ("late requests last", ORDER,
     "    order.is_late = job.is_late;",
     "    order.is_late = false;"),
    ("rejection under overload", FORECAST,
     "        !candidate.goes_first && m_late_pieces",
     "        false && m_late_pieces"),
    ("margin of the forecast", FORECAST,
     "constexpr double time_margin = 1.2;",
     "constexpr double time_margin = 1.0;"),
    ("beginning only what later stages can take", PLANNER,
     "           (job.is_started ||\n",
     "           (job.is_started || job.pieces > 0 ||\n"),
    ("ranks of routes and accounts", ORDER,
     "        order.urgency = job.urgency;",
     "        order.urgency = {};"),
    ("leaving slow targets alone", PLANNER,
     "    if (target.slowdown < slow_threshold || is_probe_due(target, now))",
     "    if (target.slowdown < 1e9 || is_probe_due(target, now))"),
    ("room kept free", PLANNER,
     "constexpr double usable_memory_share = 0.97;",
     "constexpr double usable_memory_share = 1.0;"),
    ("kept prompts", ENGINES,
     "    bool is_cached = found != m_engines.end();",
     "    bool is_cached = found != m_engines.end() && target.id.empty();"),
    ("home of a prompt", ENGINES,
     "        const bool is_preferred = candidate == preferred.engine;",
     "        const bool is_preferred = candidate == preferred.engine &&\n"
     "            candidate->incarnation.id.empty();"),
    ("running requests of an engine", ENGINES,
     "constexpr double running_cost = 60;",
     "constexpr double running_cost = 0;"),
    ("engine near the results", ENGINES,
     "constexpr double cross_zone_byte_ms = 22.0 / (1 << 20U);",
     "constexpr double cross_zone_byte_ms = 0;"),
    ("engine in the own zone", ENGINES,
     "constexpr double remote_zone_ms = 150 * 22.0 / 800;",
     "constexpr double remote_zone_ms = 0;"),
    ("one scheduler for the engines of the fleet",
     "packages/serving/peer_mesh_scheduling.cpp",
     "    if (!is_settled())\n        return {};\n    m_roster",
     "    if (!group.empty())\n        return {};\n    m_roster"),
    ("learned pace of engines", ENGINE_PACE,
     "    const auto found = m_engines.find(target);\n"
     "    if (found == m_engines.end())\n        return 1;",
     "    const auto found = m_engines.find(target);\n"
     "    if (found == m_engines.end() || !target.id.empty())\n"
     "        return 1;"),
    ("priority at the engine", "packages/serving/exchange_targets.cpp",
     "    if (is_engine_service() && m_catalog->has_ranks(m_service))",
     "    if (m_service.empty() && m_catalog->has_ranks(m_service))"),
    ("measured time per piece", ESTIMATES,
     "    const double pieces = m_throughput.pieces_per_call(m_profile.max_pieces);",
     "    const double pieces = m_profile.max_pieces;"),
    ("filling of calls", PLANNER,
     "    else if (m_waiting_pieces > space)",
     "    else if (space == 0)"),
    ("calls ahead", "packages/decision/stages/call_planner_calls.cpp",
     "    return m_profile.queue > 0 && m_profile.slots == 1 &&",
     "    return m_profile.slots == 0 &&"),
    ("shorter queues for less urgent requests", PLANNER,
     "(!state.goes_first && yields_to_urgent(job))", "false"),
    ("due times from the caller's first try",
     "packages/serving/exchange_stages.cpp",
     "    terms.due = m_started_at - m_waited_before +",
     "    terms.due = m_started_at +"),
    ("turns of accounts", FORECAST,
     "    if (are_on_time || has_one_account(begin, end))",
     "    if (are_on_time || has_one_account(begin, end) ||\n"
     "        !m_stations.empty())"),
    ("minimum share of ranks", ADMISSION,
     "    if (!m_is_overloaded)\n        return;",
     "    if (!candidates.empty())\n        return;"),
    ("refusing what waits as the process ends",
     "packages/serving/entry_process.cpp",
     "            m_requests.reject_unsent();", "            ;"),
]
