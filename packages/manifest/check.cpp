#include "manifest/check.hpp"

#include <algorithm>
#include <set>

namespace mangofold::manifest
{

namespace
{

constexpr decision::duration max_deadline = std::chrono::minutes(10);

constexpr decision::duration min_resend_horizon =
    std::chrono::milliseconds(100);
constexpr decision::duration max_resend_horizon = std::chrono::minutes(10);

class checker
{
public:
    explicit checker(const document& manifest) : m_document(manifest) {}

    std::vector<validation_error> run()
    {
        check_ids("/models", m_document.models);
        check_ids("/pools", m_document.pools);
        check_ids("/pipelines", m_document.pipelines);
        check_ids("/accounts", m_document.accounts);
        if (m_document.generation == 0)
            add_error("/generation", "must be at least 1");
        if (m_document.resend_horizon < min_resend_horizon ||
            m_document.resend_horizon > max_resend_horizon)
            add_error("/resend_horizon_ms",
                      "must be between 100 and 600000 milliseconds");
        check_evacuated_zones();
        check_pools();
        check_pipelines();
        return std::move(m_errors);
    }

private:
    void add_error(std::string path, std::string message)
    {
        m_errors.push_back({std::move(path), std::move(message)});
    }

    template<typename Item>
    void check_ids(const std::string& path, const std::vector<Item>& items)
    {
        std::set<std::string> seen;
        for (std::size_t index = 0; index < items.size(); ++index)
        {
            const std::string id_path =
                path + "/" + std::to_string(index) + "/id";
            if (items[index].id.empty())
                add_error(id_path, "must not be empty");
            if (!seen.insert(items[index].id).second)
                add_error(id_path, "duplicate id '" + items[index].id + "'");
        }
    }

    void check_pools()
    {
        std::set<std::string> targets;
        std::set<std::string> addresses;
        for (std::size_t p = 0; p < m_document.pools.size(); ++p)
        {
            const pool& checked_pool = m_document.pools[p];
            const std::string path = "/pools/" + std::to_string(p);
            if (checked_pool.targets.empty())
                add_error(path + "/targets", "must list at least one target");
            if (checked_pool.slots == 0)
                add_error(path + "/slots", "must be at least 1");
            if (checked_pool.shares.bulk_reserve >= checked_pool.slots &&
                checked_pool.slots > 0 && checked_pool.shares.bulk_reserve > 0)
                add_error(path + "/bulk_reserve", "must be less than slots");
            for (std::size_t t = 0; t < checked_pool.targets.size(); ++t)
                check_target(checked_pool.targets[t],
                             path + "/targets/" + std::to_string(t), targets,
                             addresses);
        }
    }

    void check_target(const target& checked_target, const std::string& path,
                      std::set<std::string>& ids,
                      std::set<std::string>& addresses)
    {
        if (checked_target.id.empty())
            add_error(path + "/id", "must not be empty");
        if (!ids.insert(checked_target.id).second)
            add_error(path + "/id",
                      "duplicate target id '" + checked_target.id + "'");
        if (!addresses.insert(checked_target.sidecar).second)
            add_error(path + "/sidecar", "duplicate sidecar address '" +
                                             checked_target.sidecar + "'");
        check_zone(checked_target.zone, path + "/zone");
    }

    void check_evacuated_zones()
    {
        for (std::size_t z = 0; z < m_document.evacuated_zones.size(); ++z)
            check_zone(m_document.evacuated_zones[z],
                       "/evacuated_zones/" + std::to_string(z));
    }

    void check_zone(const std::string& zone, const std::string& path)
    {
        const auto& zones = m_document.zones;
        if (std::find(zones.begin(), zones.end(), zone) == zones.end())
            add_error(path, "zone '" + zone + "' is not declared in /zones");
    }

    void check_pipelines()
    {
        for (std::size_t p = 0; p < m_document.pipelines.size(); ++p)
        {
            const pipeline& checked_pipeline = m_document.pipelines[p];
            const std::string path = "/pipelines/" + std::to_string(p);
            if (checked_pipeline.stages.empty())
                add_error(path + "/stages", "must list at least one stage");
            if (checked_pipeline.deadline <= decision::duration::zero() ||
                checked_pipeline.deadline > max_deadline)
                add_error(path + "/deadline_ms",
                          "must be between 1 and 600000 milliseconds");
            check_stages(checked_pipeline, path);
        }
    }

    void check_stages(const pipeline& owner, const std::string& path)
    {
        check_ids(path + "/stages", owner.stages);
        for (std::size_t s = 0; s < owner.stages.size(); ++s)
        {
            const stage& current = owner.stages[s];
            const std::string stage_path =
                path + "/stages/" + std::to_string(s);
            if (m_document.find_pool(current.pool) == nullptr)
                add_error(stage_path + "/pool",
                          "pool '" + current.pool +
                              "' is not declared in /pools");
            if (!current.model.empty())
                check_model(current.model, stage_path + "/model");
        }
    }

    void check_model(const std::string& name, const std::string& path)
    {
        const std::string id = name.substr(0, name.find(':'));
        const auto found = std::find_if(
            m_document.models.begin(), m_document.models.end(),
            [&](const model& candidate) { return candidate.id == id; });
        if (found == m_document.models.end())
            return add_error(path,
                             "model '" + id + "' is not declared in /models");
        if (name.size() == id.size())
            return add_error(path, "must include a version, for example '" +
                                       id + ":1'");
        std::string version = name.substr(id.size() + 1);
        const std::size_t plus = version.find('+');
        if (plus != std::string::npos)
        {
            check_declared(found->adapters, version.substr(plus + 1), path,
                           "adapter");
            version.resize(plus);
        }
        check_declared(found->versions, version, path, "version");
    }

    void check_declared(const std::vector<std::string>& declared,
                        const std::string& name, const std::string& path,
                        const std::string& kind)
    {
        if (std::find(declared.begin(), declared.end(), name) == declared.end())
            add_error(path,
                      "the model declares no " + kind + " '" + name + "'");
    }

    const document& m_document;
    std::vector<validation_error> m_errors;
};

} // namespace

std::vector<validation_error> check(const document& manifest)
{
    return checker(manifest).run();
}

} // namespace mangofold::manifest
