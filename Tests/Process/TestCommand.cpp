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
  CHECK(Command(cluster, { "check", "nothing.json" }).m_status == 1);
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
