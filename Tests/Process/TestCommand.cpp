#include "Cluster.h"

#include <doctest.h>
#include <fstream>
#include <sstream>

using namespace auburnhitch;
using namespace auburnhitch::tests;

namespace {

/// Runs the operator's command-line program and holds its exit status and output.
class Command
{
public:
  Command(Cluster& aCluster, std::vector<std::string> aArguments)
  {
    const auto output = aCluster.Directory() / "command.txt";
    std::filesystem::remove(output);
    aArguments.insert(aArguments.begin(), COMMAND_PROGRAM);
    ChildProcess process(aArguments, output.string());
    aCluster.Caller().RunUntil([&] { return process.ExitStatus().has_value(); });
    m_status = process.ExitStatus().value_or(-1);
    std::stringstream text;
    text << std::ifstream(output).rdbuf();
    m_output = text.str();
  }

  int m_status = -1;
  std::string m_output;
};

std::string
WriteDocument(Cluster& aCluster, const std::string& aName, const Json& aDocument)
{
  const auto path = aCluster.Directory() / aName;
  std::ofstream(path) << aDocument.dump(2);
  return path.string();
}

}

TEST_CASE("The operator's command publishes, reports a refusal, and shows what is in force")
{
  Cluster cluster({});
  const std::string operators = cluster.OperatorAddress(0).Value() + "," +
                                cluster.OperatorAddress(1).Value() + "," +
                                cluster.OperatorAddress(2).Value();
  const std::string good = WriteDocument(cluster, "good.json", cluster.DocumentOf("desk", 2));
  const Command revised(cluster, { "--operators", operators, "revise", "--wait", good });
  CHECK(revised.m_status == 0);
  CHECK(revised.m_output.find("accepted: revision 2") != std::string::npos);
  CHECK(revised.m_output.find("in force on 3 of 3") != std::string::npos);
  const Command refused(cluster, { "--operators", operators, "revise", "--base", "1", good });
  CHECK(refused.m_status == 1);
  CHECK(refused.m_output.find("refused: revision 2") != std::string::npos);
  const Command shown(cluster, { "--operators", operators, "--json", "show", "desk" });
  CHECK(shown.m_status == 0);
  CHECK(Json::parse(shown.m_output)["revision"] == 2);
  const Command same(cluster, { "--operators", operators, "diff", good });
  CHECK(same.m_output.find("no difference") != std::string::npos);
  const Command status(cluster, { "--operators", operators, "status" });
  CHECK(status.m_output.find("desk=2") != std::string::npos);
  CHECK(Command(cluster, { "--operators", operators, "dance" }).m_status == 2);
  const std::string nobody = Cluster::UnusedAddress().Value();
  CHECK(Command(cluster, { "--operators", nobody, "status" }).m_status == 4);
}

TEST_CASE("The command reports all findings of a document with their JSON pointers")
{
  ClusterOptions options;
  options.m_daemons = 1;
  Cluster cluster(options);
  Json wrong = cluster.DocumentOf("desk", 1);
  wrong["type"] = "robot";
  wrong["kinds"][0]["tier"] = "nowhere";
  const std::string bad = WriteDocument(cluster, "bad.json", wrong);
  const Command checked(cluster, { "check", bad });
  CHECK(checked.m_status == 1);
  CHECK(checked.m_output.find("/type:") != std::string::npos);
  CHECK(checked.m_output.find("/kinds/0/tier:") != std::string::npos);
  CHECK(Command(cluster, { "check", "nothing.json" }).m_status == 2);
}

TEST_CASE("With the log down the command reports an unknown verdict, and how to query it later")
{
  ClusterOptions options;
  options.m_daemons = 1;
  Cluster cluster(options);
  cluster.Control("log", Json{ { "down", true } });
  const std::string good = WriteDocument(cluster, "good.json", cluster.DocumentOf("desk", 2));
  const Command published(
    cluster,
    { "--operators", cluster.OperatorAddress(0).Value(), "--timeout-ms", "300", "revise", good });
  CHECK(published.m_status == 3);
  CHECK(published.m_output.find("auburnhitch publication") != std::string::npos);
}

// Guards against an exit status by which a script sends a configuration that was not looked at, and
// against keys of workspaces in the output.
TEST_CASE("The command checks a configuration, and its exit status tells findings from no check")
{
  ClusterOptions options;
  options.m_daemons = 1;
  Cluster cluster(options);
  const Json route{ { "name", "r" },    { "host", "h.example" },  { "path_prefix", "/" },
                    { "service", "s" }, { "route_kind", "safe" }, { "timeout_ms", 1'000 },
                    { "slo_ms", 500 } };
  const Json workspace{ { "name", "w" }, { "api_keys", Json::array({ "a-secret-key" }) } };
  const Json correct{ { "version", 1 },
                      { "routes", Json::array({ route }) },
                      { "services", Json::array({ Json{ { "name", "s" } } }) },
                      { "tenants", Json::array({ workspace }) } };
  const std::string in_force = WriteDocument(cluster, "in-force.json", correct);
  const Command sound(cluster, { "check", in_force });
  CHECK(sound.m_status == 0);
  CHECK(sound.m_output.find("correct, configuration version 1") != std::string::npos);
  CHECK(sound.m_output.find("not checked: ") != std::string::npos);

  Json late = correct;
  late["routes"][0]["slo_ms"] = 2'000;
  late["tenants"][0]["api_keys"] = Json::array({ "another-secret" });
  const std::string wrong = WriteDocument(cluster, "wrong.json", late);
  const Command found(cluster, { "--json", "check", wrong, "--against", in_force });
  CHECK(found.m_status == 1);
  CHECK(found.m_output.find("secret") == std::string::npos);
  const Json report = Json::parse(found.m_output);
  CHECK(report["correct"] == false);
  REQUIRE(report["findings"].size() == 3);
  CHECK(report["findings"][0] == Json{ { "rule", "objective-over-timeout" },
                                       { "place", "/routes/0/slo_ms" },
                                       { "expected", "must be at most 1000 ms, the timeout" },
                                       { "came", "2000 ms" } });

  late["tenants"][0]["api_keys"] = Json::array({ 1'234'567 });
  late["routes"][0]["timeout_ms"] = "soon";
  const Command invalid(cluster, { "check", WriteDocument(cluster, "invalid.json", late) });
  CHECK(invalid.m_status == 1);
  CHECK(invalid.m_output.find("/routes/0/timeout_ms: must be") != std::string::npos);
  CHECK(invalid.m_output.find("\"soon\"") != std::string::npos);
  CHECK(invalid.m_output.find("/tenants/0/api_keys/0: must be a string") != std::string::npos);
  CHECK(invalid.m_output.find("1234567") == std::string::npos);

  CHECK(Command(cluster, { "check", cluster.Directory().string() }).m_status == 2);
  CHECK(Command(cluster, { "check", in_force, "--against", "nothing.json" }).m_status == 2);
  CHECK(Command(cluster, { "check", in_force, "--settings", in_force }).m_status == 2);
}

// Guards against a file that is checked as another kind than daemons read it as.
TEST_CASE("The command recognises settings files, and needs a configuration for a comparison")
{
  ClusterOptions options;
  options.m_daemons = 1;
  Cluster cluster(options);
  const Json gateway{ { "host", "n" },
                      { "data_center", "z" },
                      { "caller_address", "127.0.0.1:1" },
                      { "readiness_address", "127.0.0.1:2" },
                      { "directory_address", "127.0.0.1:3" },
                      { "metrics_address", "127.0.0.1:4" },
                      { "peer_address", "127.0.0.1:5" },
                      { "store_address", "127.0.0.1:6" } };
  Json settings{ { "gateway", gateway } };
  const std::string good = WriteDocument(cluster, "gateway.json", settings);
  CHECK(Command(cluster, { "check", good }).m_status == 0);
  CHECK(Command(cluster, { "check", good, "--against", good }).m_status == 2);
  settings["gateway"]["metrics_address"] = "127.0.0.1:5";
  const Command taken(cluster, { "check", WriteDocument(cluster, "taken.json", settings) });
  CHECK(taken.m_status == 1);
  CHECK(taken.m_output.find("/gateway/peer_address: must differ") != std::string::npos);
  settings["gateway"].erase("host");
  const Command incomplete(cluster, { "check", WriteDocument(cluster, "less.json", settings) });
  CHECK(incomplete.m_status == 1);
  CHECK(incomplete.m_output.find("/gateway/host: is missing") != std::string::npos);
  const Command own(cluster,
                    { "check", WriteDocument(cluster, "own.json", { { "host_list", 1 } }) });
  CHECK(own.m_status == 1);
  CHECK(own.m_output.find("/host_list: ") != std::string::npos);
}
