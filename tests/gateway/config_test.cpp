#include "kube/config.h"

#include <gtest/gtest.h>

#include "kube/yaml.h"
#include "store/folder_here.h"

namespace flaxdoor::kube {
namespace {

using Folder = store::test::FolderHere;

std::string kubeconfig(const std::string& user,
                       const std::string& cluster = "server: https://10.0.0.1:6443") {
    return "apiVersion: v1\nkind: Config\ncurrent-context: here\ncontexts:\n- name: there\n  context: "
           "{cluster: x, "
           "user: y}\n- name: here\n  context: {cluster: c, user: u, namespace: booking}\nclusters:\n- name: "
           "c\n  "
           "cluster:\n    " +
           cluster + "\nusers:\n- name: u\n  user:\n    " + user + "\n";
}

std::string fault_of(const std::string& text) {
    const Folder folder;
    try {
        (void)from_kubeconfig(folder.write("config", text));
        return "";
    } catch (const std::runtime_error& error) {
        const std::string what = error.what();
        EXPECT_EQ(what.find(folder.path()), 0U) << "the message names the file";
        EXPECT_EQ(what.find('\n'), std::string::npos) << "the message is one line";
        return what;
    }
}

TEST(Kubeconfig, UsesTheCurrentContext) {
    const Folder folder;
    folder.write("ca.pem", "authorities");
    const Config config = from_kubeconfig(folder.write(
        "config",
        kubeconfig("token: secret", "server: https://api.example:6443/\n    certificate-authority: ca.pem")));
    EXPECT_EQ(config.host, "api.example");
    EXPECT_EQ(config.port, 6443);
    EXPECT_TRUE(config.tls);
    EXPECT_TRUE(config.verify);
    EXPECT_EQ(config.token, "secret");
    EXPECT_EQ(config.authorities, "authorities");
    EXPECT_EQ(config.space, "booking");
    const Config plain = from_kubeconfig(
        folder.write("config", kubeconfig("client-certificate-data: Y2VydA==\n    client-key-data: a2V5",
                                          "server: http://127.0.0.1:8080")));
    EXPECT_FALSE(plain.tls);
    EXPECT_EQ(plain.certificate, "cert");
    EXPECT_EQ(plain.key, "key");
}

TEST(Kubeconfig, ReportsErrorsInOneLine) {
    const std::pair<std::string, const char*> wrong[] = {
        {"a: [b", "line 1"},
        {"a: &x [1]\na: 2\n", "occurs more than once"},
        {"kind: Config\n", "current-context is not set"},
        {"current-context: x\n", "contexts has no x"},
        {kubeconfig("exec: {command: x}"), "exec is not supported"},
        {kubeconfig("client-key-data: a2V5"), "must be set together"},
        {kubeconfig("token: 7"), "user.token is not a string"},
        {kubeconfig("token: x", "server: 10.0.0.1"), "is not a URL"},
        {kubeconfig("token: x", "server: https://h:99999"), "bad port"},
        {kubeconfig("token: x", "server: https://h\n    certificate-authority: none.pem"), "can't be read"},
    };
    for (const auto& [text, part] : wrong) EXPECT_NE(fault_of(text).find(part), std::string::npos) << text;
    EXPECT_EQ(fault_of(kubeconfig("token: x")), "");
}

TEST(InCluster, ReadsTheServiceAccountFilesAndTheEnvironment) {
    const Folder folder;
    folder.write("ca.crt", "authorities");
    folder.write("token", "secret");
    folder.write("namespace", "booking\n");
    const Config config = in_cluster("10.96.0.1", "443", folder.path());
    EXPECT_EQ(config.host, "10.96.0.1");
    EXPECT_EQ(config.space, "booking");
    EXPECT_EQ(config.token_file, folder.path() + "/token");
    EXPECT_THROW((void)in_cluster("", "", folder.path()), std::runtime_error);
    EXPECT_THROW((void)in_cluster("10.0.0.1", "x", folder.path()), std::runtime_error);
    std::filesystem::remove(folder.path() + "/token");
    EXPECT_THROW((void)in_cluster("10.0.0.1", "443", folder.path()), std::runtime_error);
}

TEST(Yaml, ConvertsScalarsLikeTheKubernetesTools) {
    const auto all = read_yaml(
        "a: 1\nb: \"1\"\nc: true\nd: 'true'\ne: 1.5\nf: v1.2.0\ng:\nh: [x, -3]\ni: 0x1\n---\n---\nz: 2\n");
    ASSERT_EQ(all.size(), 2U);
    EXPECT_EQ(all[0],
              nlohmann::json::parse(R"({"a":1,"b":"1","c":true,"d":"true","e":1.5,"f":"v1.2.0","g":null,
        "h":["x",-3],"i":"0x1"})"));
    std::string nested_aliases = "a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n";
    for (int i = 1; i < 9; ++i) {
        const std::string before = "*a" + std::to_string(i - 1);
        nested_aliases += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [";
        for (int j = 0; j < 10; ++j) nested_aliases += (j ? "," : "") + before;
        nested_aliases += "]\n";
    }
    EXPECT_THROW((void)read_yaml(nested_aliases), std::runtime_error);
    EXPECT_THROW((void)read_yaml(std::string(200, '[')), std::runtime_error);
}

}  // namespace
}  // namespace flaxdoor::kube
