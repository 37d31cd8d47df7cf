# Runs case.py of a case's folder with the build of the deploy file.
set -u
here=$(cd "$1" && pwd)
root=$(cd "$here/../.." && pwd)
path="$root/target/deps:$root/review/lib3"
for source in "$root"/packages/{core,conversations,workspaces,quotas,ingress,pacing,policy,gateway,edge}/src "$root/platform/src"; do
    path="$path:$source"
done
cd "$root" || exit 2
export PYTHONPATH="$path" PYTHONDONTWRITEBYTECODE=1
rm -f "$here/record.txt"
timeout --kill-after=3 118 python3 "$here/case.py"
status=$?
[ "$status" -le 1 ] || status=2
# A case that fails by itself ends with 1 too, without its last line.
if [ "$status" -eq 1 ] && ! tail -n 1 "$here/record.txt" 2>&1 | grep -q " broken$"; then
    status=2
fi
exit "$status"
