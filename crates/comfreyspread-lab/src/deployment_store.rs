//! Access of a test deployment to its platform stand-in: configuration, VM list, faults and
//! statistics.

use crate::{deployment, types};
use comfreyspread_schema::{ids, types as wire};
use miette::IntoDiagnostic as _;

const INLINE_LIMIT_BYTES: usize = 64 * 1024;

impl deployment::TestDeployment {
    /// Writes the declarations as the next revision, as `apply` does, and waits until every node
    /// is ready.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the write or a node does not become ready.
    pub async fn configure(&self, revision: ids::RevisionNumber) -> miette::Result<()> {
        self.write_configuration(revision, &[]).await?;
        for node in &self.nodes {
            self.wait_until_ready(node.caller_address, "/readyz").await?;
        }
        Ok(())
    }

    /// Writes the declarations as a revision with the availability zones in `zones_out` out of service.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
    pub async fn write_configuration(
        &self,
        revision: ids::RevisionNumber,
        zones_out: &[ids::ZoneId],
    ) -> miette::Result<()> {
        let object = self.store_declarations(revision).await?;
        let head = wire::ConfigurationHead {
            author: "lab".into(),
            change_id: format!("lab-{revision}").into(),
            declarations: object.is_none().then(|| self.declarations.clone()),
            object,
            recent_changes: Vec::new(),
            revision,
            vms_out: Vec::new(),
            zones_out: zones_out.to_vec(),
        };
        let write = wire::RowWrite {
            condition: wire::RowPrecondition::Any,
            key: comfreyspread::configuration::head_row::HEAD_KEY.into(),
            table: comfreyspread::configuration::head_row::CONFIGURATION_TABLE.into(),
            value: Some(serde_json::to_string(&head).into_diagnostic()?.into()),
        };
        let transaction = wire::TransactionRequest { writes: vec![write] };
        self.caller.post(self.platform_address, "/v1/transactions", &transaction).await?;
        Ok(())
    }

    /// Writes large declarations as an object and returns its name. Small ones are stored in the
    /// configuration head, where nodes of the first revision read them.
    async fn store_declarations(
        &self,
        revision: ids::RevisionNumber,
    ) -> miette::Result<Option<ids::Text>> {
        let length_bytes = serde_json::to_string(&self.declarations).into_diagnostic()?.len();
        if length_bytes <= INLINE_LIMIT_BYTES {
            return Ok(None);
        }
        let name = format!("declarations-lab-{revision}");
        let path = format!("/v1/objects/{name}");
        self.caller.put(self.platform_address, &path, &self.declarations).await?;
        Ok(Some(name.into()))
    }

    /// Returns the operation counts of the platform stand-in.
    ///
    /// # Errors
    ///
    /// Fails if it does not respond.
    pub async fn store_stats(&self) -> miette::Result<types::StoreStats> {
        let response = self.caller.get(self.platform_address, "/stats").await?;
        serde_json::from_slice(response.body()).into_diagnostic()
    }

    /// Replaces the platform's list of VMs, which initially contains the VMs of all nodes.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not respond.
    pub async fn set_vms(&self, vms: Vec<wire::VmRecord>) -> miette::Result<()> {
        self.caller.put(self.platform_address, "/v1/vms", &wire::VmList { vms }).await?;
        Ok(())
    }

    /// Sets the faults of the platform stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not respond.
    pub async fn set_store_faults(&self, faults: &types::StoreFaults) -> miette::Result<()> {
        self.caller.post(self.platform_address, "/faults", faults).await?;
        Ok(())
    }
}
