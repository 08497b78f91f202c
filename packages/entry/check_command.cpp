#include "entry/check_command.hpp"

#include "manifest/parse.hpp"
#include "runtime/settings.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace mangofold::entry
{

int check_manifest(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        std::cerr << "cannot read manifest file " << path << '\n';
        return runtime::exit_failed;
    }
    std::ostringstream text;
    text << file.rdbuf();
    try
    {
        const manifest::document value = manifest::parse(text.str());
        std::cout << path << ": valid, generation " << value.generation << ", "
                  << value.pipelines.size() << " pipelines, "
                  << value.pools.size() << " pools, " << value.accounts.size()
                  << " client accounts\n";
        return runtime::exit_ok;
    }
    catch (const manifest::manifest_error& error)
    {
        std::cerr << path << ": " << error.what() << '\n';
        return runtime::exit_bad_manifest;
    }
}

} // namespace mangofold::entry
